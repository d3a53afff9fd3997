package org.fulmargap.entry.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.LoadReport;
import org.fulmargap.fleet.StorePosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PeerNetwork} with a peer that writes frames to sockets.
 */
class PeerNetworkTests {

	private static final String LOOPBACK = "127.0.0.1";

	private static final long TIMEOUT_MS = 5_000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final LinkedBlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();

	private int port;

	@BeforeEach
	void start() throws Exception {
		try (ServerSocket free = new ServerSocket(0, 0, InetAddress.getByName(LOOPBACK))) {
			this.port = free.getLocalPort();
		}
		FleetMember own = new FleetMember("vm-0", LOOPBACK + ':' + this.port, "a", 1);
		new PeerNetwork(own, 1, this.loop, System::currentTimeMillis,
				new LoopStalls(this.loop, System::currentTimeMillis), new EntryMetrics())
			.start(LOOPBACK, this.port, new Recorder());
	}

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	@Test
	void messagesOfAPeersPreviousProcessAreDropped() throws Exception {
		try (Socket previous = connect(100)) {
			send(previous, new PeerMessage.Cancellation(1));
			awaitReceived(new PeerMessage.Cancellation(1));
			try (Socket current = connect(200)) {
				send(current, new PeerMessage.Cancellation(2));
				awaitReceived(new PeerMessage.Cancellation(2));
				send(previous, new PeerMessage.Cancellation(3));
				previous.shutdownOutput();
				assertThat(previous.getInputStream().read()).isEqualTo(-1);
				send(current, new PeerMessage.Cancellation(4));
				awaitReceived(new PeerMessage.Cancellation(4));
			}
		}
	}

	@Test
	void aGreetingOfAPreviousProcessThatIsReadLateReplacesNoConnection() throws Exception {
		try (Socket current = connect(200)) {
			send(current, new PeerMessage.Cancellation(1));
			awaitReceived(new PeerMessage.Cancellation(1));
			try (Socket previous = connect(100)) {
				send(previous, new PeerMessage.Cancellation(2));
				previous.shutdownOutput();
				assertThat(previous.getInputStream().read()).isEqualTo(-1);
				send(current, new PeerMessage.Cancellation(3));
				awaitReceived(new PeerMessage.Cancellation(3));
			}
		}
	}

	@Test
	void aProcessWithAnEarlierTimeOfDayIsHeardAfterTheEndOfThePreviousOne() throws Exception {
		try (Socket previous = connect(200)) {
			send(previous, new PeerMessage.Cancellation(1));
			awaitReceived(new PeerMessage.Cancellation(1));
			previous.shutdownOutput();
			assertThat(previous.getInputStream().read()).isEqualTo(-1);
		}
		try (Socket current = connect(100)) {
			send(current, new PeerMessage.Cancellation(2));
			awaitReceived(new PeerMessage.Cancellation(2));
		}
	}

	private void awaitReceived(PeerMessage expected) throws InterruptedException {
		assertThat(this.received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo(expected);
	}

	private Socket connect(long startedAtMs) throws IOException {
		Socket socket = new Socket(LOOPBACK, this.port);
		send(socket, new PeerMessage.Hello(new FleetMember("vm-1", LOOPBACK + ":1", "a", 1), startedAtMs));
		return socket;
	}

	private static void send(Socket socket, PeerMessage message) throws IOException {
		byte[] frame = PeerCodec.encode(message, 0);
		DataOutputStream out = new DataOutputStream(socket.getOutputStream());
		out.writeInt(frame.length);
		out.write(frame);
		out.flush();
	}

	private final class Recorder implements PeerListener {

		@Override
		public void received(String peer, PeerMessage message) {
			PeerNetworkTests.this.received.add(message);
		}

		@Override
		public void reported(String peer, LoadReport report) {
			// Reports don't matter here.
		}

		@Override
		public void peerLost(String peer) {
			// Losses don't matter here.
		}

		@Override
		public void hubsChosen(long nowMs) {
			// Hubs don't matter here.
		}

		@Override
		public LoadReport ownReport() {
			return LoadReport.NONE;
		}

		@Override
		public List<StorePosition> positions() {
			return List.of();
		}

		@Override
		public boolean isStoreReached() {
			return true;
		}

		@Override
		public Set<String> awaitedPeers() {
			return Set.of();
		}

	}

}
