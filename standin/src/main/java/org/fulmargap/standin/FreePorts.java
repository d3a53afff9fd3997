package org.fulmargap.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports below the range that systems use for outgoing connections, so that a
 * process which restarts on its port does not find it taken by a connection.
 */
final class FreePorts {

	private static final int FIRST = 20_000;

	private static final int COUNT = 12_000;

	private int next = (int) ((ProcessHandle.current().pid() * 97) % COUNT);

	int next() {
		for (int tries = 0; tries < COUNT; tries++) {
			int port = FIRST + this.next;
			this.next = (this.next + 1) % COUNT;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// In use: the next port is tried.
			}
		}
		throw new IllegalStateException("no free port from " + FIRST + " to " + (FIRST + COUNT - 1));
	}

	List<Integer> next(int count) {
		List<Integer> ports = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			ports.add(next());
		}
		return ports;
	}

}
