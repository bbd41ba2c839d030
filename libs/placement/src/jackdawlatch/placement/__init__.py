"""The job book, and the decisions about which worker runs which job."""
