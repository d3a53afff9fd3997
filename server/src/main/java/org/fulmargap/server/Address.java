package org.fulmargap.server;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * IP address and port.
 *
 * @param host the IP address
 * @param port the port
 */
record Address(String host, int port) {

	private static final Pattern IPV4 = Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}):(\\d{1,5})");

	private static final Pattern IPV6 = Pattern.compile("\\[([0-9a-fA-F:.]+)]:(\\d{1,5})");

	/**
	 * Parses an address.
	 * @param text {@code IP:port}, an IPv6 address in brackets
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	static Address parse(String text) {
		Matcher matcher = IPV4.matcher(text);
		if (!matcher.matches()) {
			matcher = IPV6.matcher(text);
		}
		if (!matcher.matches()) {
			throw new IllegalArgumentException("must have the form IP:port, but is '" + text + "'");
		}
		int port = Integer.parseInt(matcher.group(2));
		if (port > 65535) {
			throw new IllegalArgumentException("must have a port up to 65535, but is '" + text + "'");
		}
		return new Address(matcher.group(1), port);
	}

	InetSocketAddress toSocketAddress() {
		return new InetSocketAddress(this.host, this.port);
	}

	@Override
	public String toString() {
		return ((this.host.indexOf(':') >= 0) ? "[" + this.host + "]" : this.host) + ":" + this.port;
	}

}
