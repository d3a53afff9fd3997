package org.fulmargap.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.membership.Heartbeat;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a faulty peer that affects the links to other peers.
 */
// Without the timeout, a link that is not closed because of a fault would block a read
// indefinitely.
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerFaultTests {

	private static final ClaimKey KEY = new ClaimKey("andinas", "k-1");

	private final FrameCodec codec = new FrameCodec(1 << 20);

	private List<InetSocketAddress> addresses;

	private PeerNode node;

	private PeerNode healthy;

	@BeforeEach
	void connect() throws Exception {
		this.addresses = PeerNode.freeAddresses(3);
		this.node = new PeerNode("vm-a", 5, "gent-a", this.addresses.get(0), this.addresses);
		this.healthy = new PeerNode("vm-b", 5, "gent-b", this.addresses.get(1), this.addresses.subList(0, 2));
		this.node.awaitEvent(PeerEventType.LINK_UP, "vm-b");
	}

	@AfterEach
	void close() {
		this.node.close();
		this.healthy.close();
	}

	private byte[] hello(String vm, long startedAtMs, int version) throws IOException {
		return this.codec
			.encode(new Hello(vm, new Incarnation(vm, startedAtMs), "gent-c", version,
					PeerAddresses.format(this.addresses.get(2))))
			.array();
	}

	private Socket dial() throws IOException {
		Socket socket = new Socket(this.addresses.get(0).getAddress(), this.addresses.get(0).getPort());
		socket.setSoTimeout((int) PeerNode.WAIT_MS);
		return socket;
	}

	private void assertClosed(Socket socket, PeerEventType type, String peer) throws Exception {
		// Reads and discards what the node sent until it closed the connection.
		socket.getInputStream().readAllBytes();
		this.node.awaitEvent(type, peer);
		assertHealthyLink();
	}

	private void assertHealthyLink() {
		assertThat(this.node.network.queryKey(List.of("vm-b"), KEY, PeerNode.WAIT_MS).join())
			.isEqualTo(Map.of("vm-b", PeerNetwork.KeyState.NONE));
		assertThat(this.node.events).noneMatch((event) -> event.peer().equals("vm-b")
				&& (event.type().isProtocolFault() || event.type() == PeerEventType.LINK_SILENT));
	}

	private static byte[] frame(String bytes) {
		byte[] body = bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
		return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
	}

	@Nested
	class Frames {

		@Test
		void thatCannotBeDecodedCloseOnlyTheirLink() throws Exception {
			try (Socket socket = dial()) {
				socket.getOutputStream().write(hello("vm-x", 1, Hello.PROTOCOL_VERSION));
				socket.getOutputStream().write(frame("\u00c1\u0000garbage"));
				assertClosed(socket, PeerEventType.BROKEN_FRAME, "vm-x");
			}
		}

		@Test
		void aboveTheSizeLimitCloseOnlyTheirLink() throws Exception {
			try (Socket socket = dial()) {
				socket.getOutputStream().write(hello("vm-x", 1, Hello.PROTOCOL_VERSION));
				socket.getOutputStream().write(new byte[] { 0x7f, 0, 0, 0 });
				assertClosed(socket, PeerEventType.OVERSIZE_FRAME, "vm-x");
			}
		}

		@Test
		void ofUnknownTypeCloseOnlyTheirLink() throws Exception {
			try (Socket socket = dial()) {
				socket.getOutputStream().write(hello("vm-x", 1, Hello.PROTOCOL_VERSION));
				socket.getOutputStream().write(frame("\u0092\u00a5later\u0080"));
				assertClosed(socket, PeerEventType.UNKNOWN_TYPE, "vm-x");
			}
		}

		@Test
		void ofAnotherVersionCloseOnlyTheirLink() throws Exception {
			try (Socket socket = dial()) {
				socket.getOutputStream().write(hello("vm-x", 1, Hello.PROTOCOL_VERSION + 1));
				String local = "127.0.0.1:" + socket.getLocalPort();
				assertClosed(socket, PeerEventType.WRONG_VERSION, local);
			}
		}

		@Test
		void beforeHelloCloseTheLinkAndHaveNoEffect() throws Exception {
			try (Socket socket = dial()) {
				socket.getOutputStream()
					.write(PeerFaultTests.this.codec.encode(new PeerMessage.KeyQuery(1, "andinas", "k-1")).array());
				String local = "127.0.0.1:" + socket.getLocalPort();
				assertClosed(socket, PeerEventType.UNEXPECTED_MESSAGE, local);
			}
		}

	}

	@Nested
	class UnresponsiveLinks {

		@Test
		void areClosedAndReopened() throws Exception {
			// Listens at the address of the third peer and sends nothing but one hello.
			try (ServerSocket unresponsive = new ServerSocket(PeerFaultTests.this.addresses.get(2).getPort(), 5,
					PeerFaultTests.this.addresses.get(2).getAddress())) {
				unresponsive.setSoTimeout((int) PeerNode.WAIT_MS);
				try (Socket first = unresponsive.accept()) {
					first.setSoTimeout((int) PeerNode.WAIT_MS);
					first.getOutputStream().write(hello("vm-c", 1, Hello.PROTOCOL_VERSION));
					long startMs = System.currentTimeMillis();
					assertClosed(first, PeerEventType.LINK_SILENT, "vm-c");
					assertThat(System.currentTimeMillis() - startMs).isBetween(1_900L, 4_000L);
				}
				try (Socket second = unresponsive.accept()) {
					second.setSoTimeout((int) PeerNode.WAIT_MS);
					assertThat(new DataInputStream(second.getInputStream()).readInt()).isPositive();
				}
			}
		}

		@Test
		void doNotDelayQueriesToOtherPeers() throws Exception {
			try (Socket socket = dial()) {
				socket.getOutputStream().write(hello("vm-x", 1, Hello.PROTOCOL_VERSION));
				PeerFaultTests.this.node.awaitEvent(PeerEventType.LINK_UP, "vm-x");
				long startMs = System.currentTimeMillis();
				assertThat(PeerFaultTests.this.node.network.queryKey(List.of("vm-b", "vm-x"), KEY, 300).join())
					.containsOnlyKeys("vm-b");
				assertThat(PeerFaultTests.this.node.network.queryOutcome("vm-x-1", KEY, 60_000).join()).isEmpty();
				assertThat(System.currentTimeMillis() - startMs).isLessThan(5_000);
			}
		}

	}

	@Nested
	class Incarnations {

		@Test
		void olderOnesDoNotReplaceANewerOne() throws Exception {
			try (Socket older = dial()) {
				older.getOutputStream().write(hello("vm-b", 4, Hello.PROTOCOL_VERSION));
				String local = "127.0.0.1:" + older.getLocalPort();
				older.getInputStream().readAllBytes();
				PeerFaultTests.this.node.awaitEvent(PeerEventType.STALE_INCARNATION, local);
			}
			assertThat(PeerFaultTests.this.node.membership.incarnation("vm-b")).contains(new Incarnation("vm-b", 5));
			assertHealthyLink();
		}

		@Test
		void newerOnesCloseTheLinksOfOlderOnes() throws Exception {
			try (Socket newer = dial()) {
				newer.getOutputStream().write(hello("vm-b", 6, Hello.PROTOCOL_VERSION));
				assertThat(PeerFaultTests.this.node.awaitEvent(PeerEventType.STALE_INCARNATION, "vm-b").detail())
					.isEqualTo("replaced by incarnation vm-b-6");
				assertThat(PeerFaultTests.this.node.network.queryOutcome("vm-b-5", KEY, 60_000).join()).isEmpty();
			}
		}

		@Test
		void heartbeatsOfAnotherOneCloseTheLink() throws Exception {
			try (Socket socket = dial()) {
				socket.getOutputStream().write(hello("vm-x", 2, Hello.PROTOCOL_VERSION));
				socket.getOutputStream()
					.write(PeerFaultTests.this.codec
						.encode(new Heartbeat(new Incarnation("vm-x", 1), false, 1, 0, null, null, 0, null, null))
						.array());
				assertClosed(socket, PeerEventType.STALE_INCARNATION, "vm-x");
			}
		}

	}

}
