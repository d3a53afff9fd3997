package org.fulmargap.cli;

import okhttp3.HttpUrl;

/**
 * Address of the operator interface of an entry VM.
 *
 * @param host the IP address
 * @param port the port
 */
record AdminAddress(String host, int port) {

	/**
	 * Parses the text form.
	 * @param text {@code IP:port}, with an IPv6 address in brackets
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form
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
	 * Starts a URL of this address.
	 * @param segments the segments of the path, not encoded
	 * @return the builder of the URL
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
