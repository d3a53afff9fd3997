package org.fulmargap.entry;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against connections that stay open without an event loop after a VM was closed,
 * so that their callers wait for an answer without end.
 */
class EntryVmCloseTests {

	private static final int CLOSES = 60;

	private static final int FEW_CLOSES = 5;

	private static final int TIMEOUT_MS = 3_000;

	@Test
	void aClosedVmClosesTheConnectionsOfItsCallers() throws Exception {
		try (Installation installation = new Installation()) {
			for (int i = 0; i < CLOSES; i++) {
				EntryVm vm = installation.vm("vm-" + i);
				String address = installation.callerAddress(i);
				int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
				try (Socket caller = new Socket("127.0.0.1", port)) {
					caller.setSoTimeout(TIMEOUT_MS);
					vm.close();
					assertThat(endOf(caller)).as("close %s", i).isEqualTo(-1);
				}
			}
		}
	}

	@Test
	void noConnectionCanBeOpenedToAClosedVm() throws Exception {
		try (Installation installation = new Installation()) {
			for (int i = 0; i < FEW_CLOSES; i++) {
				EntryVm vm = installation.vm("vm-" + i);
				String address = installation.callerAddress(i);
				int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
				vm.close();
				assertThatThrownBy(() -> new Socket("127.0.0.1", port)).isInstanceOf(ConnectException.class);
			}
		}
	}

	private static int endOf(Socket caller) throws IOException {
		try {
			return caller.getInputStream().read();
		}
		catch (SocketException ex) {
			// A reset ends the connection as well.
			return -1;
		}
	}

}
