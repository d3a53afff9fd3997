package org.fulmargap.cli;

import okhttp3.HttpUrl;

/**
 * Address of the operator API of an entry VM.
 *
 * @param host the IP address
 * @param port the port
 */
record AdminAddress(String host, int port) {

	/**
	 * Parses an address.
	 * @param text {@code IP:port}, with an IPv6 address in brackets
	 * @return the address
	 * @throws IllegalArgumentException if the text is not of this form or the port is not
	 * between 1 and 65535
	 */
	static AdminAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		String host = (colon > 0) ? text.substring(0, colon).replaceAll("^\\[(.*)]$", "$1") : "";
		String port = text.substring(colon + 1);
		if (!host.matches("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") || !port.matches("\\d{1,5}")
				|| Integer.parseInt(port) < 1 || Integer.parseInt(port) > 65_535) {
			throw new IllegalArgumentException("'" + text + "' is not of the form IP:port");
		}
		return new AdminAddress(host, Integer.parseInt(port));
	}

	/**
	 * Returns a URL builder for this address and a path.
	 * @param segments the path segments, not percent-encoded
	 * @return the URL builder
	 */
	HttpUrl.Builder url(String... segments) {
		HttpUrl.Builder url = new HttpUrl.Builder().scheme("http").host(this.host).port(this.port);
		for (String segment : segments) {
			url.addPathSegment(segment);
		}
		return url;
	}

	@Override
	public String toString() {
		return ((this.host.indexOf(':') >= 0) ? "[" + this.host + "]" : this.host) + ":" + this.port;
	}

}
