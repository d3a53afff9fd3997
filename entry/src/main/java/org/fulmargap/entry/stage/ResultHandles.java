package org.fulmargap.entry.stage;

/**
 * Reads the handles of results, which begin with the address of the endpoint that keeps
 * the result and a slash.
 */
final class ResultHandles {

	private ResultHandles() {
	}

	/**
	 * Returns the address in a handle.
	 * @param handle the handle
	 * @return the address as {@code IP:port}; empty if the handle has none
	 */
	static String address(String handle) {
		return handle.substring(0, Math.max(0, handle.indexOf('/')));
	}

}
