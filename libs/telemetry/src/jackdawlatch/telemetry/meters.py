"""OpenTelemetry metrics of a process, exported in the Prometheus format."""

from collections.abc import Callable, Iterable, Mapping

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources

OTHER = 'other'
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


# A value and its labels.
Sample = tuple[float, Mapping[str, str]]


class BoundedLabels:
    """Limits how many values a label takes in the life of a process."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._known: set[str] = set()

    def label(self, name: str) -> str:
        """Return a name, or ``OTHER`` once there are too many of them."""
        if name not in self._known and len(self._known) < self._most:
            self._known.add(name)
        return name if name in self._known else OTHER


class Meters:
    """The counters, histograms and gauges of one process.

    An instrument is created when its name is first used.
    """

    def __init__(self, role: str, process: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        provider = sdk_metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource(
                {'service.name': role, 'service.instance.id': process}
            ),
        )
        self._meter = provider.get_meter('jackdawlatch')
        self._counters_by_name: dict[str, metrics.Counter] = {}
        self._histograms_by_name: dict[str, metrics.Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = self._meter.create_counter(name)
            self._counters_by_name[name] = counter
        counter.add(amount, labels)

    def record(self, name: str, amount: float, **labels: str) -> None:
        """Add a sample to a histogram; the unit is part of the name."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name)
            self._histograms_by_name[name] = histogram
        histogram.record(amount, labels)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is ``read()`` at each export."""
        self.labelled_gauge(name, lambda: ((read(), {}),))

    def labelled_gauge(
        self, name: str, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Register a gauge that ``read()`` returns the samples of."""

        def observe(
            _options: metrics.CallbackOptions,
        ) -> Iterable[metrics.Observation]:  # noqa: WPS430 closes over ``read``.
            for amount, labels in read():
                yield metrics.Observation(amount, labels)

        self._meter.create_observable_gauge(name, [observe])

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus exposition format."""
        return prometheus_client.generate_latest(self._registry)
