package org.fulmargap.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The links of one VM to all endpoints, which can be cut.
 */
final class EndpointLinks implements AutoCloseable {

	private final Map<InetSocketAddress, TcpForwarder> forwarders = new ConcurrentHashMap<>();

	private final InetSocketAddress closedPort;

	private volatile boolean refusing;

	EndpointLinks() throws IOException {
		try (ServerSocket unused = new ServerSocket(0)) {
			this.closedPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), unused.getLocalPort());
		}
	}

	/**
	 * Returns where connections to an endpoint go now.
	 */
	InetSocketAddress route(InetSocketAddress endpoint) {
		if (this.refusing) {
			return this.closedPort;
		}
		TcpForwarder forwarder = this.forwarders.computeIfAbsent(endpoint, EndpointLinks::open);
		try {
			return TcpForwarder.address(forwarder.address());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static TcpForwarder open(InetSocketAddress endpoint) {
		try {
			return new TcpForwarder(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), endpoint);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Cuts the links to all endpoints that were routed before.
	 */
	void cut(Cut cut) throws IOException {
		cut.begin(this);
	}

	/** Ends a cut of any kind. */
	void restore() throws IOException {
		mode(TcpForwarder.Mode.FORWARD);
		this.refusing = false;
	}

	private void mode(TcpForwarder.Mode mode) throws IOException {
		for (TcpForwarder forwarder : this.forwarders.values()) {
			forwarder.mode(mode);
		}
	}

	@Override
	public void close() throws IOException {
		for (TcpForwarder forwarder : this.forwarders.values()) {
			forwarder.close();
		}
	}

	/**
	 * The ways in which a VM loses the endpoints.
	 */
	enum Cut {

		/** Open connections live on, and new ones are refused. */
		REFUSED {
			@Override
			void begin(EndpointLinks links) {
				links.refusing = true;
			}
		},

		/** Open connections are reset, and new ones are refused. */
		RESET {
			@Override
			void begin(EndpointLinks links) {
				links.refusing = true;
				links.forwarders.values().forEach((forwarder) -> forwarder.reset((greeting) -> true));
			}
		},

		/** Open connections deliver nothing, and new ones are not answered. */
		SILENT {
			@Override
			void begin(EndpointLinks links) throws IOException {
				links.mode(TcpForwarder.Mode.CUT);
			}
		};

		abstract void begin(EndpointLinks links) throws IOException;

	}

}
