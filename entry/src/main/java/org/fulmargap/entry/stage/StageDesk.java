package org.fulmargap.entry.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import org.fulmargap.batch.BatchFormer;
import org.fulmargap.batch.StageCall;
import org.fulmargap.batch.WorkItem;
import org.fulmargap.catalog.ServiceSpec;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.StoreView;
import org.fulmargap.entry.endpoint.CallFailure;
import org.fulmargap.entry.endpoint.EndpointCall;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.RetryAllowance;
import org.fulmargap.platform.EndpointAnswer;
import org.fulmargap.platform.MalformedRecordException;
import org.fulmargap.platform.StageCalls;
import org.fulmargap.platform.WorkItemResult;

/**
 * Makes the calls of the stage services that this VM is in charge of, with the pieces of
 * all entry VMs. Confined to the event loop.
 */
public final class StageDesk {

	/** A call that takes this many times its expected time is given up. */
	private static final double CALL_TIMEOUT_FACTOR = 2.5;

	/** The least time of a call before it is given up, in milliseconds. */
	private static final double LEAST_CALL_TIMEOUT_MS = 500;

	/** How long an endpoint that is full gets nothing, in milliseconds. */
	private static final long FULL_PAUSE_MS = 60;

	/** The calls in which one piece may be. */
	private static final int MAX_CALLS_PER_ITEM = 3;

	/** How often pieces that wait are looked at, in milliseconds. */
	private static final long TICK_MS = 50;

	/**
	 * How long after its start a call to an idle endpoint has read its inputs, in
	 * milliseconds: some megabytes over the endpoints' links.
	 */
	private static final long READ_INPUTS_MS = 80;

	/** Endpoints slower than usual by this factor are not relied on to have begun. */
	private static final double MAX_SLOWNESS_TO_RELY_ON = 1.5;

	private static final long BYTES_PER_KB = 1_000;

	/** How long results that are given up are gathered, in milliseconds. */
	private static final long FREE_DELAY_MS = 8;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final StoreView view;

	private final EndpointPool pool;

	private final RetryAllowance retries;

	private final IntSupplier vmCount;

	private final EntryMetrics metrics;

	private final Map<String, Lane> lanes = new HashMap<>();

	private final Map<String, List<String>> freedByAddress = new HashMap<>();

	/**
	 * Creates a desk.
	 * @param loop the event loop
	 * @param clockMs the present time in milliseconds
	 * @param view what the platform's store holds
	 * @param pool connections to endpoints
	 * @param retries this VM's share of repeats
	 * @param vmCount the number of entry VMs
	 * @param metrics counters and latencies
	 */
	public StageDesk(EventLoop loop, LongSupplier clockMs, StoreView view, EndpointPool pool, RetryAllowance retries,
			IntSupplier vmCount, EntryMetrics metrics) {
		this.loop = loop;
		this.clockMs = clockMs;
		this.view = view;
		this.pool = pool;
		this.retries = retries;
		this.vmCount = vmCount;
		this.metrics = metrics;
		loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Takes a piece.
	 * @param service the service of its stage
	 * @param item the piece
	 * @param outcome hears what becomes of it
	 * @return what withdraws the piece
	 */
	public Runnable submit(String service, WorkItem item, Consumer<WorkItemOutcome> outcome) {
		ServiceSpec spec = this.view.catalog().map((catalog) -> catalog.services().get(service)).orElse(null);
		if (spec == null || spec.stage() == null) {
			this.loop.execute(() -> outcome.accept(WorkItemOutcome.failed(item.itemId())));
			return () -> {
			};
		}
		Lane lane = this.lanes.computeIfAbsent(service, (name) -> new Lane(name, new BatchFormer(spec.stage())));
		lane.former.capacity(spec.stage());
		Entry entry = new Entry(outcome);
		lane.entries.put(item, entry);
		lane.former.add(item);
		lane.pumpSoon();
		return () -> lane.withdraw(item);
	}

	/**
	 * Gives up results.
	 * @param handles the names of the results
	 */
	public void release(List<String> handles) {
		for (String handle : handles) {
			String address = handle.substring(0, Math.max(0, handle.indexOf('/')));
			if (this.freedByAddress.isEmpty()) {
				this.loop.schedule(this::sendFreed, FREE_DELAY_MS, TimeUnit.MILLISECONDS);
			}
			this.freedByAddress.computeIfAbsent(address, (key) -> new ArrayList<>()).add(handle);
		}
	}

	/**
	 * Gives up results when there is no room for others.
	 * @param service the service that made them
	 * @param handles the names of the results
	 */
	public void spare(String service, List<String> handles) {
		Lane lane = this.lanes.get(service);
		if (lane != null) {
			handles.forEach(lane.former::spare);
			lane.pumpSoon();
		}
	}

	// The room is free when the endpoint says so, not before.
	private void freed(String address, List<String> handles) {
		for (Endpoint endpoint : this.view.directory().all()) {
			Lane lane = this.lanes.get(endpoint.record().service());
			if (lane != null && endpoint.record().address().equals(address)) {
				handles.forEach((handle) -> lane.former.release(endpoint.record().id(), handle));
				lane.pumpSoon();
			}
		}
	}

	/**
	 * Returns the pieces that are not done.
	 * @return the number of pieces that wait or are in a call
	 */
	public int pendingCount() {
		return this.lanes.values().stream().mapToInt((lane) -> lane.entries.size()).sum();
	}

	/**
	 * Returns the endpoints that work, of the services with pieces at this VM.
	 * @return the number of endpoints of usual speed, by service
	 */
	public Map<String, Double> workingEndpoints() {
		long nowMs = this.clockMs.getAsLong();
		Map<String, Double> working = new HashMap<>();
		this.lanes.forEach((service, lane) -> {
			if (!lane.entries.isEmpty()) {
				working.put(service, speed(this.view.directory().open(service, nowMs), nowMs));
			}
		});
		return working;
	}

	private static double speed(List<Endpoint> endpoints, long nowMs) {
		return endpoints.stream()
			.filter((endpoint) -> !endpoint.isSuspended(nowMs))
			.mapToDouble((endpoint) -> 1 / Math.max(1, endpoint.slowness()))
			.sum();
	}

	private void sendFreed() {
		Map<String, List<String>> freed = Map.copyOf(this.freedByAddress);
		this.freedByAddress.clear();
		freed.forEach((address, handles) -> {
			if (!address.isEmpty()) {
				this.pool.send(address,
						StageRequests.post(address, StageCalls.FREE_PATH, StageCalls.encodeFree(handles), null),
						new FreeCall(address, handles));
			}
		});
	}

	private void tick() {
		this.lanes.values().forEach(Lane::pump);
	}

	/**
	 * The pieces and calls of one service.
	 */
	private final class Lane {

		private final String service;

		private final BatchFormer former;

		private final Map<WorkItem, Entry> entries = new HashMap<>();

		private boolean pumpPlanned;

		private Lane(String service, BatchFormer former) {
			this.service = service;
			this.former = former;
		}

		private void pumpSoon() {
			// Pieces that arrive in one turn of the event loop share a call.
			if (!this.pumpPlanned) {
				this.pumpPlanned = true;
				StageDesk.this.loop.execute(this::pump);
			}
		}

		private void pump() {
			this.pumpPlanned = false;
			long nowMs = StageDesk.this.clockMs.getAsLong();
			if (this.former.waitingCount() == 0) {
				return;
			}
			List<Endpoint> open = StageDesk.this.view.directory().open(this.service, nowMs);
			for (WorkItem late : this.former.expire(open.size(), nowMs)) {
				StageDesk.this.metrics.count("pieces_expired");
				EventLog.request("piece_expired", late.attemptId())
					.with("service", this.service)
					.with("stage", late.stage())
					.with("waiting", this.former.waitingCount())
					.with("endpoints", open.size())
					.with("left_ms", late.expiresAtMs() - nowMs)
					.write();
				finish(late, WorkItemOutcome.failed(late.itemId()));
			}
			Optional<StageCall> next = this.former.next(open, nowMs);
			while (next.isPresent()) {
				send(next.get(), nowMs);
				next = this.former.next(open, nowMs);
			}
			release(this.former.reclaim(nowMs));
		}

		private void send(StageCall call, long nowMs) {
			call.items().forEach((item) -> this.entries.get(item).calls++);
			StageDesk.this.metrics.count("stage_calls");
			EventLog.call("stage_call")
				.with("service", this.service)
				.with("endpoint", call.endpoint())
				.with("pieces", call.items().size())
				.with("near", this.former.nearCount(call))
				.with("expected_ms", Math.round(call.expectedMs()))
				.with("waiting", this.former.waitingCount())
				.with("late", this.former.lateCount())
				.with("free_kb", this.former.freeBytes(call.endpoint(), nowMs) / BYTES_PER_KB)
				.write();
			RunningCall running = new RunningCall(this, call, nowMs);
			String address = call.endpoint().record().address();
			running.cancellable = StageDesk.this.pool.send(address, StageRequests.post(address, StageCalls.RUN_PATH,
					StageCalls.encode(call.items(), nowMs), call.endpoint().record().id()), running);
			double timeoutMs = Math.max(LEAST_CALL_TIMEOUT_MS,
					call.expectedMs() * CALL_TIMEOUT_FACTOR * Math.max(1, call.endpoint().slowness()));
			StageDesk.this.loop.schedule(running::inputsRead, READ_INPUTS_MS, TimeUnit.MILLISECONDS);
			running.timeout = StageDesk.this.loop.schedule(running::timedOut, (long) timeoutMs, TimeUnit.MILLISECONDS);
		}

		private void withdraw(WorkItem item) {
			this.entries.remove(item);
			this.former.remove(item);
		}

		private void finish(WorkItem item, WorkItemOutcome outcome) {
			Entry entry = this.entries.remove(item);
			if (entry != null) {
				entry.outcome.accept(outcome);
			}
			else if (outcome.isDone()) {
				release(List.of(outcome.handle()));
			}
		}

		private void waitAgain(WorkItem item) {
			if (this.entries.containsKey(item)) {
				this.former.add(item);
			}
		}

		private void again(WorkItem item, boolean arrived, long nowMs) {
			Entry entry = this.entries.get(item);
			if (entry == null) {
				return;
			}
			boolean allowed = entry.calls < MAX_CALLS_PER_ITEM && (!arrived
					|| StageDesk.this.retries.tryRepeat(this.service, StageDesk.this.vmCount.getAsInt(), nowMs));
			if (allowed) {
				this.former.add(item);
			}
			else {
				finish(item, WorkItemOutcome.failed(item.itemId()));
			}
		}

	}

	private static final class Entry {

		private final Consumer<WorkItemOutcome> outcome;

		private int calls;

		private Entry(Consumer<WorkItemOutcome> outcome) {
			this.outcome = outcome;
		}

	}

	/**
	 * A call on its way.
	 */
	private final class RunningCall implements EndpointCall {

		private final Lane lane;

		private final StageCall call;

		private final long startedAtMs;

		private final ByteBuf body = Unpooled.buffer(512);

		private EndpointPool.Cancellable cancellable;

		private Future<?> timeout;

		private EndpointAnswer answer;

		private boolean over;

		private RunningCall(Lane lane, StageCall call, long startedAtMs) {
			this.lane = lane;
			this.call = call;
			this.startedAtMs = startedAtMs;
		}

		@Override
		public String attemptId() {
			return "";
		}

		@Override
		public void answered(EndpointAnswer newAnswer, HttpResponse head) {
			this.answer = newAnswer;
		}

		@Override
		public void received(ByteBuf content) {
			this.body.writeBytes(content);
		}

		@Override
		public void ended() {
			long nowMs = close();
			if (this.answer.isSuccess()) {
				deliver(nowMs);
			}
			else if (this.answer.notExecuted()) {
				refused(nowMs);
			}
			else {
				this.call.endpoint().failed(true, nowMs);
				repeatAll("status_" + this.answer.status(), true, nowMs);
			}
			this.lane.pumpSoon();
		}

		private void refused(long nowMs) {
			if (this.answer.isMisdirected()) {
				this.call.endpoint().failed(true, nowMs);
			}
			else {
				this.call.endpoint().refused(nowMs + FULL_PAUSE_MS);
			}
			repeatAll("refused_" + this.answer.status(), true, nowMs);
		}

		private void deliver(long nowMs) {
			List<WorkItemResult> results;
			try {
				results = StageCalls.decode(ByteBufUtil.getBytes(this.body), this.call.items().size());
			}
			catch (MalformedRecordException ex) {
				this.call.endpoint().failed(true, nowMs);
				repeatAll("malformed", true, nowMs);
				return;
			}
			this.call.endpoint().succeeded(nowMs - this.startedAtMs, this.call.expectedMs(), nowMs);
			StageDesk.this.metrics.time("stage_call", nowMs - this.startedAtMs);
			for (int i = 0; i < results.size(); i++) {
				deliver(this.call.items().get(i), results.get(i), nowMs);
			}
		}

		private void deliver(WorkItem item, WorkItemResult result, long nowMs) {
			Endpoint endpoint = this.call.endpoint();
			if (result.failure() == null) {
				this.lane.former.hold(endpoint, result.handle(), item.resultBytes(), nowMs);
				this.lane.finish(item,
						WorkItemOutcome.done(item.itemId(), result.handle(), endpoint.record().failureDomain()));
				return;
			}
			EventLog.request("piece_failed", item.attemptId())
				.with("service", this.lane.service)
				.with("stage", item.stage())
				.with("endpoint", endpoint)
				.with("reason", result.failure())
				.write();
			if (result.failure() == WorkItemResult.Failure.LATE) {
				this.lane.finish(item, WorkItemOutcome.failed(item.itemId()));
			}
			else if (result.failure() == WorkItemResult.Failure.INPUT_GONE) {
				this.lane.finish(item, WorkItemOutcome.inputGone(item.itemId()));
			}
			else if (result.failure() == WorkItemResult.Failure.NO_ROOM) {
				this.lane.former.full(endpoint, nowMs);
				this.lane.waitAgain(item);
			}
			else {
				this.lane.again(item, true, nowMs);
			}
		}

		@Override
		public void failed(CallFailure failure) {
			long nowMs = close();
			this.call.endpoint().failed(true, nowMs);
			repeatAll(failure.name(), failure.maybeRan(), nowMs);
			this.lane.pumpSoon();
		}

		// The endpoint was idle, so its turn came at once: the inputs may go.
		private void inputsRead() {
			if (this.over || this.call.endpoint().slowness() > MAX_SLOWNESS_TO_RELY_ON) {
				return;
			}
			for (WorkItem item : this.call.items()) {
				Entry entry = this.lane.entries.get(item);
				if (entry != null && !item.inputs().isEmpty()) {
					entry.outcome.accept(WorkItemOutcome.inputsRead(item.itemId()));
				}
			}
		}

		private void timedOut() {
			this.cancellable.cancel();
			failed(CallFailure.TIMED_OUT);
		}

		private long close() {
			this.over = true;
			this.timeout.cancel(false);
			this.lane.former.ended(this.call);
			return StageDesk.this.clockMs.getAsLong();
		}

		private void repeatAll(String reason, boolean arrived, long nowMs) {
			EventLog.state("stage_call_failed")
				.with("service", this.lane.service)
				.with("endpoint", this.call.endpoint())
				.with("pieces", this.call.items().size())
				.with("reason", reason)
				.write();
			this.call.items().forEach((item) -> this.lane.again(item, arrived, nowMs));
		}

	}

	/**
	 * A call that gives up results. When it fails they expire.
	 */
	private final class FreeCall implements EndpointCall {

		private final String address;

		private final List<String> handles;

		private FreeCall(String address, List<String> handles) {
			this.address = address;
			this.handles = handles;
		}

		@Override
		public String attemptId() {
			return "";
		}

		@Override
		public void answered(EndpointAnswer answer, HttpResponse head) {
			// That the call ends is enough.
		}

		@Override
		public void received(ByteBuf content) {
			// The body says nothing.
		}

		@Override
		public void ended() {
			freed(this.address, this.handles);
		}

		@Override
		public void failed(CallFailure failure) {
			EventLog.state("free_failed")
				.with("address", this.address)
				.with("results", this.handles.size())
				.with("reason", failure)
				.write();
		}

	}

}
