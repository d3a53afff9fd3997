package org.fulmargap.entry.peer;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.entry.endpoint.EndpointRelays;
import org.fulmargap.fleet.FleetMember;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls on idle connections through a VM that has just failed to answer.
 */
class PeerRelaysTests {

	private static final int TIMEOUT_MS = 5_000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	@Test
	void aFrozenRelayCarriesNoNewCalls() throws Exception {
		// The kernel accepts connections of a process that does not run.
		try (ServerSocket frozen = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
			PeerNetwork network = new PeerNetwork(new FleetMember("vm-0", "127.0.0.1:1", "a", 1), 1, this.loop,
					System::currentTimeMillis, new LoopStalls(this.loop, System::currentTimeMillis),
					new EntryMetrics());
			this.loop
				.submit(() -> network.updatePeer(new FleetMember("vm-1", "127.0.0.1:" + frozen.getLocalPort(), "a", 1)))
				.get();
			PeerRelays relays = new PeerRelays(network, this.loop, System::currentTimeMillis, Set.of());
			assertThat(relays.isUsable("vm-1")).isTrue();
			assertThat(openFails(relays)).isTrue();
			assertThat(this.loop.submit(() -> relays.isUsable("vm-1")).get()).isFalse();
		}
	}

	private boolean openFails(PeerRelays relays) throws Exception {
		CompletableFuture<Boolean> failed = new CompletableFuture<>();
		this.loop.execute(() -> relays.open("127.0.0.1:2", "a", new EndpointRelays.Listener() {
			@Override
			public void opened(Channel channel, String relay) {
				failed.complete(false);
			}

			@Override
			public void failed() {
				failed.complete(false);
			}

			@Override
			public void unavailable() {
				failed.complete(true);
			}
		}));
		return failed.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

}
