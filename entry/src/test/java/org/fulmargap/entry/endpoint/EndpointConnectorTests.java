package org.fulmargap.entry.endpoint;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that takes crashed endpoints for a cut of its own links, or a cut
 * for crashed endpoints.
 */
class EndpointConnectorTests {

	private static final int ENDPOINTS = 6;

	private static final int TIMEOUT_MS = 5_000;

	/** Longer than the connect timeout. */
	private static final int STALL_MS = 400;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final EndpointDirectory directory = new EndpointDirectory();

	private final List<ServerSocket> endpoints = new ArrayList<>();

	private final Queue<Boolean> changes = new ConcurrentLinkedQueue<>();

	private volatile boolean refusing;

	private EndpointConnector connector;

	@BeforeEach
	void start() throws Exception {
		for (int i = 0; i < ENDPOINTS; i++) {
			ServerSocket endpoint = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
			this.endpoints.add(endpoint);
			this.directory.put(new EndpointRecord("core-" + i, "core", address(endpoint), "a", 1, false, 0, 1, 1, "v1"),
					0);
		}
		InetSocketAddress closedPort;
		try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			closedPort = (InetSocketAddress) unused.getLocalSocketAddress();
		}
		this.connector = new EndpointConnector(this.loop, System::currentTimeMillis, this.directory, "a",
				EndpointRelays.NONE, (address) -> (this.refusing) ? closedPort : address, new EntryMetrics());
		this.connector.onChange(this.changes::add);
	}

	@AfterEach
	void stop() throws IOException {
		for (ServerSocket endpoint : this.endpoints) {
			endpoint.close();
		}
		this.group.shutdownGracefully();
	}

	private static String address(ServerSocket endpoint) {
		return "127.0.0.1:" + endpoint.getLocalPort();
	}

	private CompletableFuture<Boolean> open(int endpoint) {
		CompletableFuture<Boolean> opened = new CompletableFuture<>();
		this.connector.open(address(this.endpoints.get(endpoint)), new EndpointConnector.Listener() {
			@Override
			public void opened(Channel channel, String relay) {
				channel.close();
				opened.complete(true);
			}

			@Override
			public void failed() {
				opened.complete(false);
			}

			@Override
			public void unavailable() {
				opened.complete(false);
			}
		});
		return opened;
	}

	private List<CompletableFuture<Boolean>> openTogether(int... opened) throws Exception {
		return this.loop.submit(() -> {
			List<CompletableFuture<Boolean>> openings = new ArrayList<>();
			for (int endpoint : opened) {
				openings.add(open(endpoint));
			}
			return openings;
		}).get();
	}

	private static void await(List<CompletableFuture<Boolean>> openings) throws Exception {
		for (CompletableFuture<Boolean> opening : openings) {
			opening.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
	}

	@Test
	void endpointsThatCrashTogetherDoNotMakeAVmCutOff() throws Exception {
		for (int i = 0; i < 3; i++) {
			this.endpoints.get(i).close();
		}
		await(openTogether(0, 1, 2));
		assertThat(this.changes).isEmpty();
	}

	@Test
	void aCutThatBeginsShortlyAfterAConnectionIsNoCrash() throws Exception {
		await(openTogether(0));
		this.refusing = true;
		await(openTogether(1));
		assertThat(this.changes).containsExactly(true);
	}

	@Test
	void connectTimeoutsAfterAStallDoNotMakeAVmCutOff() throws Exception {
		CompletableFuture<List<CompletableFuture<Boolean>>> openings = new CompletableFuture<>();
		this.loop.execute(() -> this.connector.openForPeer(address(this.endpoints.get(0)),
				new EndpointConnector.DirectListener() {
					@Override
					public void opened(Channel channel) {
						channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
							@Override
							public void channelInactive(ChannelHandlerContext context) {
								openings.complete(List.of(open(1), open(2), open(3)));
								stall();
							}
						});
						channel.close();
					}

					@Override
					public void failed(boolean isCutOff) {
						openings.cancel(false);
					}
				}));
		await(openings.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
		assertThat(this.changes).isEmpty();
	}

	private static void stall() {
		try {
			Thread.sleep(STALL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void aProbeWithoutRelayDoesNotReportACrash() throws Exception {
		EndpointPool pool = new EndpointPool(this.loop, System::currentTimeMillis,
				new LoopStalls(this.loop, System::currentTimeMillis), this.connector);
		this.refusing = true;
		CompletableFuture<Boolean> reachable = new CompletableFuture<>();
		this.loop.execute(() -> pool.probe(address(this.endpoints.get(0)), reachable::complete));
		assertThat(reachable.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.connector.isWithoutRelay()).isTrue();
	}

}
