package org.fulmargap.peer;

import java.net.InetSocketAddress;

/**
 * Formats addresses as {@code IP:port}.
 */
final class PeerAddresses {

	private PeerAddresses() {
	}

	static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
