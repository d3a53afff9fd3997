package org.fulmargap.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports below the ephemeral port range, so that no outgoing connection
 * occupies the port of a process that is restarting.
 */
final class FreePorts {

	private static final int FIRST_PORT = 20_000;

	private static final int PORT_COUNT = 12_000;

	private int next = (int) ((ProcessHandle.current().pid() * 97) % PORT_COUNT);

	int next() {
		for (int tries = 0; tries < PORT_COUNT; tries++) {
			int port = FIRST_PORT + this.next;
			this.next = (this.next + 1) % PORT_COUNT;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; try the next one.
			}
		}
		throw new IllegalStateException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
	}

	List<Integer> next(int count) {
		List<Integer> ports = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			ports.add(next());
		}
		return ports;
	}

}
