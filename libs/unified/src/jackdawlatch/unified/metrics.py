"""HTTP handler for the metrics of this process."""

from tornado import web

from jackdawlatch.telemetry import meters


class MetricsHandler(web.RequestHandler):
    """Serves counters and histograms in the Prometheus text format."""

    _meters: meters.Meters

    def initialize(self, instruments: meters.Meters) -> None:
        """Set the metrics to serve."""
        self._meters = instruments

    def get(self) -> None:
        """Write the current values of all metrics."""
        self.set_header('Content-Type', meters.CONTENT_TYPE)
        self.write(self._meters.exposition())
