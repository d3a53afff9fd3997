package org.fulmargap.entry.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.entry.endpoint.EndpointConnector;
import org.fulmargap.entry.endpoint.EndpointRelays;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a relayed connection that ends in another way than the one to its
 * endpoint, and against a VM that relays to anything but endpoints.
 */
class RelayTests {

	private static final int TIMEOUT_MS = 5_000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final EndpointDirectory directory = new EndpointDirectory();

	private ServerSocket endpoint;

	private int port;

	@BeforeEach
	void start() throws Exception {
		this.endpoint = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.endpoint.setSoTimeout(TIMEOUT_MS);
		list("core-1", this.endpoint.getLocalPort());
		this.port = freePort();
		EndpointConnector connector = new EndpointConnector(this.loop, System::currentTimeMillis, this.directory, "a",
				EndpointRelays.NONE, UnaryOperator.identity(), new EntryMetrics());
		PeerNetwork network = new PeerNetwork(new FleetMember("vm-0", "127.0.0.1:" + this.port, "a", 1), 1, this.loop,
				System::currentTimeMillis, new LoopStalls(this.loop, System::currentTimeMillis), new EntryMetrics());
		network.relays(new RelayServer(this.directory, connector, new EntryMetrics()));
		network.start("127.0.0.1", this.port, null);
	}

	@AfterEach
	void stop() throws IOException {
		this.endpoint.close();
		this.group.shutdownGracefully();
	}

	private static int freePort() throws IOException {
		try (ServerSocket free = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
			return free.getLocalPort();
		}
	}

	private void list(String id, int endpointPort) {
		this.directory.put(new EndpointRecord(id, "core", "127.0.0.1:" + endpointPort, "a", 1, false, 0, 1, 1, "v1"),
				0);
	}

	// A request of a VM with an older program, which knows no frames.
	private Socket request(int endpointPort) throws IOException {
		return request(endpointPort, false);
	}

	private Socket request(int endpointPort, boolean readsFrames) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.port);
		socket.setSoTimeout(TIMEOUT_MS);
		byte[] frame = PeerCodec.encode(new PeerMessage.RelayRequest("127.0.0.1:" + endpointPort, readsFrames), 0);
		DataOutputStream out = new DataOutputStream(socket.getOutputStream());
		out.writeInt(frame.length);
		out.write(frame);
		return socket;
	}

	private static RelayOutcome outcome(Socket socket) throws IOException {
		DataInputStream in = new DataInputStream(socket.getInputStream());
		assertThat(in.readInt()).isEqualTo(1);
		return RelayOutcome.values()[in.readByte()];
	}

	@Nested
	class Requests {

		@Test
		void aListedEndpointIsConnected() throws Exception {
			try (Socket vm = request(RelayTests.this.endpoint.getLocalPort())) {
				assertThat(outcome(vm)).isEqualTo(RelayOutcome.OPEN);
			}
		}

		@Test
		void anAddressThatIsNoEndpointIsRefused() throws Exception {
			try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
					Socket vm = request(other.getLocalPort())) {
				assertThat(outcome(vm)).isEqualTo(RelayOutcome.UNAVAILABLE);
				assertThat(vm.getInputStream().read()).isEqualTo(-1);
			}
		}

		@Test
		void anEndpointThatAcceptsNoConnectionIsToldFromACut() throws Exception {
			int closedPort = freePort();
			list("core-2", closedPort);
			try (Socket vm = request(closedPort)) {
				assertThat(outcome(vm)).isEqualTo(RelayOutcome.NOT_CONNECTED);
			}
		}

		@Test
		void aVmThatIsCutOffItselfIsNoRelay() throws Exception {
			RelayTests.this.endpoint.close();
			for (int i = 2; i <= 4; i++) {
				list("core-" + i, freePort());
			}
			try (Socket vm = request(RelayTests.this.endpoint.getLocalPort())) {
				assertThat(outcome(vm)).isEqualTo(RelayOutcome.UNAVAILABLE);
			}
		}

	}

	@Nested
	class Connections {

		private Socket vm;

		private Socket accepted;

		@BeforeEach
		void open() throws IOException {
			this.vm = request(RelayTests.this.endpoint.getLocalPort());
			this.accepted = RelayTests.this.endpoint.accept();
			this.accepted.setSoTimeout(TIMEOUT_MS);
			assertThat(outcome(this.vm)).isEqualTo(RelayOutcome.OPEN);
		}

		@AfterEach
		void close() throws IOException {
			this.vm.close();
			this.accepted.close();
		}

		@Test
		void bytesPassInBothDirections() throws Exception {
			this.vm.getOutputStream().write("request".getBytes());
			assertThat(this.accepted.getInputStream().readNBytes(7)).asString().isEqualTo("request");
			this.accepted.getOutputStream().write(new byte[3_000_000]);
			assertThat(this.vm.getInputStream().readNBytes(3_000_000)).hasSize(3_000_000);
		}

		@Test
		void theEndOfTheOutputFollowsAllBytes() throws Exception {
			this.accepted.getOutputStream().write("answer".getBytes());
			this.accepted.shutdownOutput();
			assertThat(this.vm.getInputStream().readAllBytes()).asString().isEqualTo("answer");
		}

		@Test
		void aResetIsNoEndOfTheOutput() throws Exception {
			this.accepted.getOutputStream().write("part".getBytes());
			assertThat(this.vm.getInputStream().readNBytes(4)).asString().isEqualTo("part");
			this.accepted.setSoLinger(true, 0);
			this.accepted.close();
			assertThatThrownBy(() -> this.vm.getInputStream().read()).isInstanceOf(SocketException.class);
		}

		@Test
		void theEndOfTheRelayIsNoEndOfTheOutput() throws Exception {
			this.accepted.getOutputStream().write("part".getBytes());
			assertThat(this.vm.getInputStream().readNBytes(4)).asString().isEqualTo("part");
			RelayTests.this.group.shutdownGracefully(0, TIMEOUT_MS, TimeUnit.MILLISECONDS);
			assertThatThrownBy(() -> this.vm.getInputStream().read()).isInstanceOf(SocketException.class);
		}

		@Test
		void theCloseOfTheVmClosesTheConnectionToTheEndpoint() throws Exception {
			this.vm.close();
			assertThat(this.accepted.getInputStream().read()).isEqualTo(-1);
		}

	}

	@Nested
	class Frames {

		private Socket vm;

		private Socket accepted;

		private DataInputStream in;

		@BeforeEach
		void open() throws IOException {
			this.vm = request(RelayTests.this.endpoint.getLocalPort(), true);
			this.accepted = RelayTests.this.endpoint.accept();
			assertThat(outcome(this.vm)).isEqualTo(RelayOutcome.OPEN_WITH_FRAMES);
			this.in = new DataInputStream(this.vm.getInputStream());
		}

		@AfterEach
		void close() throws IOException {
			this.vm.close();
			this.accepted.close();
		}

		private String content(int bytes) throws IOException {
			StringBuilder content = new StringBuilder();
			while (content.length() < bytes) {
				int length = this.in.readInt();
				assertThat(length).isPositive();
				content.append(new String(this.in.readNBytes(length)));
			}
			return content.toString();
		}

		@Test
		void requestsPassWithoutFrames() throws Exception {
			this.vm.getOutputStream().write("request".getBytes());
			assertThat(this.accepted.getInputStream().readNBytes(7)).asString().isEqualTo("request");
		}

		@Test
		void theEndOfTheOutputIsAnEmptyFrameBehindAllBytes() throws Exception {
			String answer = "x".repeat(3_000_000);
			Thread writer = new Thread(() -> {
				try {
					this.accepted.getOutputStream().write(answer.getBytes());
					this.accepted.shutdownOutput();
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			});
			writer.start();
			assertThat(content(answer.length())).isEqualTo(answer);
			assertThat(this.in.readInt()).isZero();
			assertThat(this.in.read()).isEqualTo(-1);
			writer.join();
		}

		@Test
		void aResetIsNoEndOfTheOutput() throws Exception {
			this.accepted.getOutputStream().write("part".getBytes());
			assertThat(content(4)).isEqualTo("part");
			this.accepted.setSoLinger(true, 0);
			this.accepted.close();
			assertThatThrownBy(this.in::readInt).isInstanceOf(SocketException.class);
		}

	}

}
