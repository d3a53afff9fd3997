package org.fulmargap.entry.stage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fulmargap.batch.WorkItem;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.entry.SetAsideEndpoints;
import org.fulmargap.entry.StoreView;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.entry.rollout.Rollouts;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.placement.LimitShares;
import org.fulmargap.placement.SharedRetryBudget;
import org.fulmargap.platform.EndpointRecordDecoder;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.OperatorRecord;
import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StageClient} as the coordinator of a service with one endpoint.
 */
class StageClientTests {

	private static final String ANSWER = "{\"items\":[{\"handle\":\"127.0.0.1:1/%d\"}]}";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: %d\r\n\r\n";

	private static final long WORK_MS = 100;

	private static final long STALL_MS = 300;

	/** Less than the timeout of a call. */
	private static final long LONGER_STALL_MS = 400;

	private static final long TIMEOUT_MS = 5_000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final Semaphore calls = new Semaphore(0);

	private final List<String> bodies = new CopyOnWriteArrayList<>();

	private int handles;

	private RawEndpointStandIn endpoint;

	private StageClient client;

	@BeforeEach
	void start() throws Exception {
		this.endpoint = new RawEndpointStandIn((connection, path, body, out) -> {
			this.bodies.add(body);
			this.calls.release();
			pause(WORK_MS);
			this.handles++;
			String answer = ANSWER.formatted(this.handles);
			out.write(HEAD.formatted(answer.length()) + answer);
		});
		StoreView view = new StoreView();
		KeyedRecord config = new KeyedRecord("config", CallerWire.CONFIG.formatted(1).getBytes(StandardCharsets.UTF_8),
				0);
		view.replace(((OperatorRecord.Configuration) OperatorRecord.decode(config)).catalog(), 0);
		byte[] record = this.endpoint.record("stage").getBytes(StandardCharsets.UTF_8);
		view.put(EndpointRecordDecoder.decode("raw-1", record), 0);
		EntryMetrics metrics = new EntryMetrics();
		FleetMember own = new FleetMember("vm-0", "127.0.0.1:1", "a", 1);
		PeerNetwork peers = new PeerNetwork(own, 1, this.loop, System::currentTimeMillis,
				new LoopStalls(this.loop, System::currentTimeMillis), metrics);
		Rollouts rollouts = new Rollouts(Optional.empty(), view.directory(), peers, null, metrics,
				System::currentTimeMillis);
		StageCallDispatcher dispatcher = new StageCallDispatcher(this.loop, System::currentTimeMillis, view,
				new EndpointPool(this.loop, System::currentTimeMillis,
						new LoopStalls(this.loop, System::currentTimeMillis)),
				new SharedRetryBudget(0.2, 54, 10_000), () -> 1, new SetAsideEndpoints(this.loop,
						System::currentTimeMillis, view.directory(), LimitShares.WHOLE, metrics),
				rollouts, true, metrics);
		this.client = new StageClient(this.loop, dispatcher, peers);
	}

	private static void pause(long durationMs) {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.endpoint.close();
		this.group.shutdownGracefully();
	}

	@Test
	void aWorkItemThatAPeerSubmitsAgainDoesNotOccupyTheEndpointForEver() throws Exception {
		long nowMs = System.currentTimeMillis();
		WorkItem twice = item(1, "attempt1", nowMs);
		submit(twice);
		awaitCall();
		submit(twice);
		submit(item(2, "attempt2", nowMs));
		awaitCall();
	}

	@Test
	void workItemsThatAreCancelledOrExpireBeforeTheirCallIsSentAreLeftOut() throws Exception {
		long nowMs = System.currentTimeMillis();
		WorkItem expiring = item(2, "expiring", nowMs).expiringBy(nowMs + STALL_MS + LONGER_STALL_MS / 2);
		List<WorkItem> items = List.of(item(1, "cancelled", nowMs), expiring, item(3, "kept", nowMs));
		// The call is formed after the first stall, and sent after the second one.
		this.loop.execute(() -> {
			this.client.receive("vm-1", new PeerMessage.WorkItems("stage", items));
			this.loop.execute(() -> {
				this.client.receive("vm-1", new PeerMessage.Cancellation(1));
				pause(LONGER_STALL_MS);
			});
			pause(STALL_MS);
		});
		awaitCall();
		assertThat(this.bodies.get(0)).contains("kept").doesNotContain("cancelled", "expiring");
		assertThat(this.calls.tryAcquire(2 * WORK_MS, TimeUnit.MILLISECONDS)).isFalse();
	}

	@Test
	void itemIdsOfTwoProcessesOfAVmDiffer() {
		StageClient previous = new StageClient(this.loop, null, null);
		StageClient current = new StageClient(this.loop, null, null);
		assertThat(current.newItemId()).isNotEqualTo(previous.newItemId());
	}

	private void submit(WorkItem item) {
		this.loop.submit(() -> this.client.receive("vm-1", new PeerMessage.WorkItems("stage", List.of(item))))
			.awaitUninterruptibly();
	}

	private void awaitCall() throws InterruptedException {
		assertThat(this.calls.tryAcquire(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
	}

	private static WorkItem item(long itemId, String attemptId, long nowMs) {
		return new WorkItem(itemId, attemptId, 0, 0, "key", List.of(), "", 0, nowMs + TIMEOUT_MS,
				nowMs + 2 * TIMEOUT_MS, 1_000);
	}

}
