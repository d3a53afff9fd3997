package org.fulmargap.peer;

import java.net.InetSocketAddress;

/**
 * Text form of addresses.
 */
final class PeerAddresses {

	private PeerAddresses() {
	}

	static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
