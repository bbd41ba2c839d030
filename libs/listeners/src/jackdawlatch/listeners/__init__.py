"""HTTP servers whose clients are held to limits."""
