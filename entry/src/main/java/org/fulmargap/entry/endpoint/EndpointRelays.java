package org.fulmargap.entry.endpoint;

import io.netty.channel.Channel;

/**
 * Opens connections to endpoints through other VMs. Called on the event loop.
 */
public interface EndpointRelays {

	/** A VM that knows no other one. */
	EndpointRelays NONE = new EndpointRelays() {
		@Override
		public boolean isAvailable(long nowMs) {
			return false;
		}

		@Override
		public boolean isUsable(String relay) {
			return false;
		}

		@Override
		public void open(String address, String failureDomain, Listener listener) {
			listener.unavailable();
		}
	};

	/**
	 * Returns whether another VM may relay.
	 * @param nowMs the current time in milliseconds
	 * @return {@code false} if none is reachable, or those that are could not help
	 * shortly before
	 */
	boolean isAvailable(long nowMs);

	/**
	 * Returns whether a VM still relays, so that its open connections may carry new
	 * calls.
	 * @param relay the name of the VM
	 * @return {@code false} if it is not reachable any more, shutting down, or could not
	 * help shortly before
	 */
	boolean isUsable(String relay);

	/**
	 * Opens a connection to an endpoint.
	 * @param address the address of the endpoint as {@code IP:port}
	 * @param failureDomain its failure domain, or an empty string if it is not known
	 * @param listener is told of the result
	 */
	void open(String address, String failureDomain, Listener listener);

	/**
	 * Is told whether a connection was opened.
	 */
	interface Listener {

		/**
		 * Handles a connection that carries the bytes of the endpoint.
		 * @param channel the connection, without handlers for its content; its input ends
		 * only where the endpoint has ended its output
		 * @param relay the name of the other VM
		 */
		void opened(Channel channel, String relay);

		/**
		 * Handles that the endpoint accepts no connection from a VM that reaches others.
		 */
		void failed();

		/** Handles that no VM could help, so that nothing is known of the endpoint. */
		void unavailable();

	}

}
