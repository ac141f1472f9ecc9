package serve

// NewConnTimeout is how long a new connection may take to send its first request once the server shuts down.
const NewConnTimeout = newConnTimeout
