"""Serves the instruments of this process for scraping."""

from tornado import httpserver, web

from jackdawlatch.telemetry import meters


class MetricsHandler(web.RequestHandler):
    """Counters and histograms, as text."""

    _meters: meters.Meters

    def initialize(self, own: meters.Meters) -> None:
        """Keep what is served."""
        self._meters = own

    def get(self) -> None:
        """Answer in the format that is scraped."""
        self.set_header('Content-Type', meters.CONTENT_TYPE)
        self.write(self._meters.exposition())


def server(own: meters.Meters) -> httpserver.HTTPServer:
    """Return the server of the metrics address."""
    return httpserver.HTTPServer(
        web.Application([('/metrics', MetricsHandler, {'own': own})])
    )
