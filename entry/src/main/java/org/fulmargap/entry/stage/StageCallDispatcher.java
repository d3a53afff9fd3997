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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import org.fulmargap.batch.BatchScheduler;
import org.fulmargap.batch.RecentHandles;
import org.fulmargap.batch.StageCall;
import org.fulmargap.batch.WastedWork;
import org.fulmargap.batch.WorkItem;
import org.fulmargap.catalog.AddressFormat;
import org.fulmargap.catalog.ServiceSpec;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.SetAsideEndpoints;
import org.fulmargap.entry.StoreView;
import org.fulmargap.entry.endpoint.AnswerMemory;
import org.fulmargap.entry.endpoint.CallFailure;
import org.fulmargap.entry.endpoint.EndpointCall;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.entry.rollout.Rollouts;
import org.fulmargap.placement.BrittleLimits;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointLimits;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.placement.FleetPosition;
import org.fulmargap.placement.LimitShares;
import org.fulmargap.placement.SharedRetryBudget;
import org.fulmargap.platform.EndpointAnswer;
import org.fulmargap.platform.MalformedRecordException;
import org.fulmargap.platform.StageCalls;
import org.fulmargap.platform.WorkItemResult;
import org.fulmargap.rollout.VersionSplit;

/**
 * Sends the calls to the endpoints of the stage services that this VM coordinates, with
 * the work items of all entry VMs. Confined to the event loop.
 */
public final class StageCallDispatcher {

	/**
	 * A call times out after its expected time, multiplied by this factor and, where it
	 * is above 1, by the slowdown factor of its endpoint.
	 */
	private static final double CALL_TIMEOUT_FACTOR = 2.5;

	/** The shortest timeout of a call, in milliseconds. */
	private static final double MIN_CALL_TIMEOUT_MS = 500;

	/** How long an endpoint that refused a call gets no further calls, in ms. */
	private static final long REFUSED_PAUSE_MS = 60;

	/** A work item that was in this many calls is not retried when it fails. */
	private static final int MAX_CALLS_PER_ITEM = 3;

	/**
	 * The interval at which waiting work items are expired and dispatched, in
	 * milliseconds.
	 */
	private static final long TICK_INTERVAL_MS = 50;

	/**
	 * The time after which a call to an endpoint with a free slot is assumed to have read
	 * its inputs, in milliseconds: enough for some megabytes over the endpoints' links.
	 */
	private static final long INPUT_READ_TIME_MS = 80;

	/**
	 * Endpoints with a higher slowdown factor are not assumed to have read the inputs
	 * after {@link #INPUT_READ_TIME_MS}.
	 */
	private static final double MAX_RELIABLE_SLOWDOWN_FACTOR = 1.5;

	private static final long BYTES_PER_KB = 1_000;

	private static final double MS_PER_SECOND = 1_000;

	private static final double PERCENT = 100;

	/**
	 * The priority of all calls: the scheduler has put their work items in order.
	 */
	private static final int CALL_PRIORITY = 0;

	/**
	 * How many results and answers of a service are remembered to detect copies: more
	 * answers than all open connections to it can have carried.
	 */
	private static final int REMEMBERED_HANDLES = 10_000;

	/**
	 * How long released results are collected before they are sent to their endpoints, in
	 * milliseconds.
	 */
	private static final long FREE_DELAY_MS = 8;

	/** The timeout of a call that releases results, in milliseconds. */
	private static final long FREE_TIMEOUT_MS = 2_000;

	/** The size of the largest answer to a call, in bytes. */
	private static final int MAX_ANSWER_BYTES = 1 << 20;

	/** The largest number of parts in which the answer to a call arrives. */
	private static final int MAX_ANSWER_PARTS = 10_000;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final StoreView view;

	private final EndpointPool pool;

	private final SharedRetryBudget retryBudget;

	private final IntSupplier vmCount;

	private final SetAsideEndpoints setAside;

	private final Rollouts rollouts;

	private final boolean bySpeed;

	private final EntryMetrics metrics;

	// Only the coordinator of a service calls its endpoints.
	private final EndpointLimits limits = new EndpointLimits(LimitShares.WHOLE);

	private final BrittleLimits brittle = new BrittleLimits((endpoint, nowMs) -> FleetPosition.ALONE);

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	private final Map<String, List<String>> releasedByAddress = new HashMap<>();

	private boolean tickScheduled;

	/**
	 * Creates a dispatcher.
	 * @param loop the event loop
	 * @param clockMs the current time in milliseconds
	 * @param view this VM's view of the platform's store
	 * @param pool connections to endpoints
	 * @param retryBudget this VM's share of the retry budget
	 * @param vmCount the number of entry VMs that share the retry budget
	 * @param setAside the endpoints that announced that they want no new work
	 * @param rollouts the rollouts between software versions
	 * @param bySpeed whether work items go by the speeds of endpoints that differ clearly
	 * @param metrics counters and latencies
	 */
	public StageCallDispatcher(EventLoop loop, LongSupplier clockMs, StoreView view, EndpointPool pool,
			SharedRetryBudget retryBudget, IntSupplier vmCount, SetAsideEndpoints setAside, Rollouts rollouts,
			boolean bySpeed, EntryMetrics metrics) {
		this.loop = loop;
		this.clockMs = clockMs;
		this.view = view;
		this.pool = pool;
		this.retryBudget = retryBudget;
		this.vmCount = vmCount;
		this.setAside = setAside;
		this.rollouts = rollouts;
		this.bySpeed = bySpeed;
		this.metrics = metrics;
	}

	/**
	 * Queues a work item for the next calls of its service. The work item fails if the
	 * catalog has no such stage service.
	 * @param service the service of its stage
	 * @param item the work item
	 * @param outcome receives the outcomes of the work item: {@code INPUTS_READ} any
	 * number of times, then one last status; none after the cancellation
	 * @return an action that cancels the work item
	 */
	public Runnable submit(String service, WorkItem item, Consumer<WorkItemOutcome> outcome) {
		ServiceSpec spec = this.view.catalog().map((catalog) -> catalog.services().get(service)).orElse(null);
		if (spec == null || spec.stage() == null) {
			this.loop.execute(() -> outcome.accept(WorkItemOutcome.failed(item.itemId())));
			return () -> {
			};
		}
		ServiceQueue queue = this.queues.computeIfAbsent(service,
				(name) -> new ServiceQueue(name, new BatchScheduler(spec.stage(), this.bySpeed)));
		queue.scheduler.capacity(spec.stage());
		PendingItem pending = new PendingItem(outcome);
		queue.pendingItems.put(item, pending);
		queue.scheduler.add(item);
		queue.scheduleDispatch();
		scheduleTick();
		return () -> queue.cancel(item);
	}

	/**
	 * Removes a work item that waits for a call.
	 * @param service the service of its stage
	 * @param item the work item
	 * @return {@code false} if it does not wait, for example because it is in a call
	 */
	public boolean withdraw(String service, WorkItem item) {
		ServiceQueue queue = this.queues.get(service);
		if (queue == null || !queue.scheduler.remove(item)) {
			return false;
		}
		queue.pendingItems.remove(item);
		return true;
	}

	/**
	 * Releases results at the endpoints that keep them, after a short delay so that one
	 * call covers several results.
	 * @param handles the handles of the results
	 */
	public void release(List<String> handles) {
		for (String handle : handles) {
			String address = ResultHandles.address(handle);
			if (this.releasedByAddress.isEmpty()) {
				this.loop.schedule(this::sendFreeCalls, FREE_DELAY_MS, TimeUnit.MILLISECONDS);
			}
			this.releasedByAddress.computeIfAbsent(address, (key) -> new ArrayList<>()).add(handle);
		}
	}

	/**
	 * Returns whether a process has ended because a later one has its address.
	 * @param address the address of the process
	 * @param startedAtMs when it started, in milliseconds since the epoch
	 * @return {@code true} if a record of a later process was read
	 */
	boolean isReplaced(String address, long startedAtMs) {
		return this.view.directory().isReplaced(address, startedAtMs);
	}

	/**
	 * Marks results as evictable: they are released when other results need their space.
	 * @param service the service that produced them
	 * @param handles the handles of the results
	 */
	public void markEvictable(String service, List<String> handles) {
		ServiceQueue queue = this.queues.get(service);
		if (queue != null) {
			handles.forEach(queue.scheduler::markEvictable);
			queue.scheduleDispatch();
		}
	}

	// Space counts as free only after the endpoint has answered the releasing call.
	private void recordFreed(String address, List<String> handles) {
		for (Endpoint endpoint : this.view.directory().all()) {
			ServiceQueue queue = this.queues.get(endpoint.record().service());
			if (queue != null && endpoint.record().address().equals(address)) {
				handles.forEach((handle) -> queue.scheduler.release(endpoint.record().id(), handle));
				queue.scheduleDispatch();
			}
		}
	}

	/**
	 * Returns the number of unfinished work items.
	 * @return the number of work items that are waiting or in a call
	 */
	public int pendingCount() {
		return this.queues.values().stream().mapToInt((queue) -> queue.pendingItems.size()).sum();
	}

	/**
	 * Returns the available endpoints of each service that has work items at this VM.
	 * @return the available endpoints by service, as the equivalent number of endpoints
	 * of usual speed
	 */
	public Map<String, Double> availableEndpoints() {
		long nowMs = this.clockMs.getAsLong();
		Map<String, Double> available = new HashMap<>();
		this.queues.forEach((service, queue) -> {
			if (!queue.pendingItems.isEmpty()) {
				available.put(service, queue.totalSpeed(this.view.directory().available(service, nowMs), nowMs));
			}
		});
		return available;
	}

	private void sendFreeCalls() {
		long nowMs = this.clockMs.getAsLong();
		Map<String, List<String>> freed = Map.copyOf(this.releasedByAddress);
		this.releasedByAddress.clear();
		freed.forEach((address, handles) -> {
			boolean unwanted = this.view.directory()
				.findByAddress(address)
				.filter((endpoint) -> endpoint.isSetAside(nowMs) || !this.limits.trySpare(endpoint, nowMs))
				.isPresent();
			// It wants no calls now, or has none to spare, and its results expire.
			if (unwanted) {
				logFreeFailed(address, handles, CallFailure.WITHDRAWN);
			}
			else if (AddressFormat.isHostAddress(address)) {
				new FreeCall(address, handles).send();
			}
		});
	}

	private void count(WastedWork cause) {
		this.metrics.count(cause.counter());
	}

	private static void logFreeFailed(String address, List<String> handles, CallFailure failure) {
		EventLog.state("free_failed")
			.with("address", address)
			.with("results", handles.size())
			.with("reason", failure)
			.write();
	}

	private void scheduleTick() {
		if (!this.tickScheduled) {
			this.tickScheduled = true;
			this.loop.schedule(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void tick() {
		this.tickScheduled = false;
		this.queues.values().forEach(ServiceQueue::dispatch);
		if (this.queues.values().stream().anyMatch((queue) -> !queue.pendingItems.isEmpty())) {
			scheduleTick();
		}
	}

	// The answers to stage calls are short. A large one is given up when memory runs out.
	private AnswerMemory.Share answerShare() {
		return this.pool.answerMemory().share(false, (allowed) -> {
		});
	}

	/**
	 * The work items and calls of one service.
	 */
	private final class ServiceQueue {

		private final String service;

		private final BatchScheduler scheduler;

		private final RecentHandles recentHandles = new RecentHandles(REMEMBERED_HANDLES);

		private final Map<WorkItem, PendingItem> pendingItems = new HashMap<>();

		private boolean dispatchScheduled;

		private long calls;

		private ServiceQueue(String service, BatchScheduler scheduler) {
			this.service = service;
			this.scheduler = scheduler;
		}

		private double totalSpeed(List<Endpoint> endpoints, long nowMs) {
			double callSeconds = this.scheduler.fullCallMs() / MS_PER_SECOND;
			return endpoints.stream()
				.filter((endpoint) -> !endpoint.isSuspended(nowMs))
				.mapToDouble((endpoint) -> Math.min(1 / Math.max(1, endpoint.slowdownFactor(nowMs)),
						StageCallDispatcher.this.limits.perSecond(endpoint, nowMs) * callSeconds))
				.sum();
		}

		private void scheduleDispatch() {
			// Dispatch is deferred to a later event loop task, so that work items which
			// arrive together can share a call.
			if (!this.dispatchScheduled) {
				this.dispatchScheduled = true;
				StageCallDispatcher.this.loop.execute(this::dispatch);
			}
		}

		private void dispatch() {
			this.dispatchScheduled = false;
			long nowMs = StageCallDispatcher.this.clockMs.getAsLong();
			if (this.scheduler.waitingCount() == 0) {
				return;
			}
			if (StageCallDispatcher.this.view.directory().isSetAside(this.service, nowMs)) {
				refuseAll();
				return;
			}
			List<Endpoint> available = StageCallDispatcher.this.view.directory().available(this.service, nowMs);
			long limitWaitMs = StageCallDispatcher.this.limits.waitMs(available, CALL_PRIORITY, nowMs);
			for (WorkItem expired : this.scheduler.expire(available.size(), nowMs + limitWaitMs)) {
				StageCallDispatcher.this.metrics.count("pieces_expired");
				EventLog.request("piece_expired", expired.attemptId())
					.with("service", this.service)
					.with("stage", expired.stage())
					.with("waiting", this.scheduler.waitingCount())
					.with("endpoints", available.size())
					.with("left_ms", expired.expiresAtMs() - nowMs)
					.write();
				finish(expired, WorkItemOutcome.failed(expired.itemId()));
			}
			Optional<StageCall> next = next(available, nowMs);
			while (next.isPresent()) {
				send(next.get(), nowMs);
				next = next(available, nowMs);
			}
			release(this.scheduler.evict(nowMs));
		}

		// A process that has the address of an earlier one may give its results the same
		// handles. Until all VMs know of it, it makes none.
		private Optional<StageCall> next(List<Endpoint> available, long nowMs) {
			List<Endpoint> known = available.stream().filter((endpoint) -> !endpoint.isTakingOver(nowMs)).toList();
			List<Endpoint> usable = StageCallDispatcher.this.rollouts.usable(this.service, known, nowMs);
			Optional<VersionSplit> split = StageCallDispatcher.this.rollouts.split(this.service);
			return (split.isPresent()) ? next(split.get(), usable, nowMs) : nextAt(usable, nowMs);
		}

		private Optional<StageCall> next(VersionSplit split, List<Endpoint> usable, long nowMs) {
			boolean toUpdated = split.sendsToUpdated(this.service + '#' + this.calls, nowMs);
			Optional<StageCall> call = nextAt(split.candidates(usable, toUpdated, nowMs), nowMs);
			return (call.isEmpty() && toUpdated && split.share(nowMs) < 1)
					? nextAt(split.candidates(usable, false, nowMs), nowMs) : call;
		}

		private Optional<StageCall> nextAt(List<Endpoint> endpoints, long nowMs) {
			List<Endpoint> withinLimits = StageCallDispatcher.this.limits.sendable(endpoints, CALL_PRIORITY, nowMs);
			return this.scheduler.next(StageCallDispatcher.this.brittle.sendable(withinLimits, nowMs), nowMs);
		}

		// All endpoints are leaving or rest: waiting could take until the deadline.
		private void refuseAll() {
			List<WorkItem> refused = this.scheduler.removeAll();
			EventLog.state("pieces_refused").with("service", this.service).with("pieces", refused.size()).write();
			refused.forEach((item) -> finish(item, WorkItemOutcome.failed(item.itemId())));
		}

		private void send(StageCall call, long nowMs) {
			call.items().forEach((item) -> this.pendingItems.get(item).calls++);
			this.calls++;
			StageCallDispatcher.this.limits.sent(call.endpoint(), CALL_PRIORITY);
			StageCallDispatcher.this.metrics.count("stage_calls");
			EventLog.call("stage_call")
				.with("service", this.service)
				.with("endpoint", call.endpoint())
				.with("pieces", call.items().size())
				.with("near", this.scheduler.localCount(call))
				.with("expected_ms", Math.round(call.expectedMs()))
				.with("factor", Math.round(call.endpoint().slowdownFactor(nowMs) * PERCENT) / PERCENT)
				.with("waiting", this.scheduler.waitingCount())
				.with("late", this.scheduler.lateCount())
				.with("free_kb", this.scheduler.freeBytes(call.endpoint(), nowMs) / BYTES_PER_KB)
				.write();
			RunningCall running = new RunningCall(this, call, nowMs);
			double timeoutMs = Math.max(MIN_CALL_TIMEOUT_MS,
					call.expectedMs() * CALL_TIMEOUT_FACTOR * Math.max(1, call.endpoint().longestFactor()));
			StageCallDispatcher.this.loop.schedule(running::inputsRead, INPUT_READ_TIME_MS, TimeUnit.MILLISECONDS);
			// The timeout exists before the call can end.
			running.timeout = StageCallDispatcher.this.loop.schedule(running::timedOut, (long) timeoutMs,
					TimeUnit.MILLISECONDS);
			String address = call.endpoint().record().address();
			running.poolCall = StageCallDispatcher.this.pool.send(address, running::request, running);
		}

		private boolean isWanted(WorkItem item, long nowMs) {
			return this.pendingItems.containsKey(item) && item.expiresAtMs() > nowMs;
		}

		// A work item of a call that was about to be sent.
		private void expire(WorkItem item) {
			if (this.pendingItems.containsKey(item)) {
				StageCallDispatcher.this.metrics.count("pieces_expired");
				EventLog.request("piece_expired", item.attemptId())
					.with("service", this.service)
					.with("stage", item.stage())
					.with("left_ms", item.expiresAtMs() - StageCallDispatcher.this.clockMs.getAsLong())
					.write();
				finish(item, WorkItemOutcome.failed(item.itemId()));
			}
		}

		private void cancel(WorkItem item) {
			this.pendingItems.remove(item);
			this.scheduler.remove(item);
		}

		private void finish(WorkItem item, WorkItemOutcome outcome) {
			PendingItem pending = this.pendingItems.remove(item);
			if (pending != null) {
				// It waits as well if it was submitted again during the call.
				this.scheduler.remove(item);
				pending.outcome.accept(outcome);
			}
			else if (outcome.isDone()) {
				// The work item was cancelled during the call: nobody needs its result.
				release(List.of(outcome.handle()));
			}
		}

		private void requeue(WorkItem item) {
			if (this.pendingItems.containsKey(item)) {
				this.scheduler.add(item);
			}
		}

		private void retry(WorkItem item, boolean mayHaveRun, long nowMs) {
			PendingItem pending = this.pendingItems.get(item);
			if (pending == null) {
				return;
			}
			boolean allowed = pending.calls < MAX_CALLS_PER_ITEM && (!mayHaveRun || StageCallDispatcher.this.retryBudget
				.tryRetry(this.service, StageCallDispatcher.this.vmCount.getAsInt(), nowMs));
			if (allowed) {
				this.scheduler.add(item);
			}
			else {
				finish(item, WorkItemOutcome.failed(item.itemId()));
			}
		}

	}

	private static final class PendingItem {

		private final Consumer<WorkItemOutcome> outcome;

		private int calls;

		private PendingItem(Consumer<WorkItemOutcome> outcome) {
			this.outcome = outcome;
		}

	}

	/**
	 * A call with work items that is in flight.
	 */
	private final class RunningCall implements EndpointCall {

		private final ServiceQueue queue;

		private final StageCall call;

		// The record may change during the call.
		private final EndpointRecord calledRecord;

		private final long startedAtMs;

		private final ByteBuf body = Unpooled.buffer(512);

		private int parts;

		// How a rollout divides the calls, and counts the answers; null without one.
		private final VersionSplit split;

		// A new process of the endpoint may have another version when the call ends.
		private final boolean sentToUpdated;

		private EndpointPool.RunningCall poolCall;

		// The work items that were not cancelled and had not expired when they were sent.
		private List<WorkItem> items;

		private boolean encoded;

		private Future<?> timeout;

		private EndpointAnswer answer;

		private AnswerMemory.Share memory;

		private boolean finished;

		private RunningCall(ServiceQueue queue, StageCall call, long startedAtMs) {
			this.queue = queue;
			this.call = call;
			this.items = call.items();
			this.calledRecord = call.endpoint().record();
			this.startedAtMs = startedAtMs;
			this.split = StageCallDispatcher.this.rollouts.split(queue.service).orElse(null);
			this.sentToUpdated = this.split != null && this.split.isUpdated(call.endpoint());
			if (this.split != null) {
				this.split.sent(this.sentToUpdated);
				this.split.running(this, "stage", call.endpoint(), MS_PER_SECOND / Math.max(1, call.expectedMs()),
						startedAtMs);
			}
		}

		// Calls of any size are compared by their time relative to the expected one.
		private void recordAnswer(boolean failed, long nowMs) {
			if (this.split != null) {
				double relativeMs = (nowMs - this.startedAtMs) * MS_PER_SECOND / Math.max(1, this.call.expectedMs());
				this.split.answered("stage", this.call.endpoint(), failed, relativeMs, nowMs);
			}
		}

		@Override
		public String attemptId() {
			return "";
		}

		// Called at the moment of sending.
		private FullHttpRequest request() {
			long nowMs = StageCallDispatcher.this.clockMs.getAsLong();
			this.call.items().stream().filter((item) -> item.expiresAtMs() <= nowMs).forEach(this.queue::expire);
			this.items = this.call.items().stream().filter((item) -> this.queue.isWanted(item, nowMs)).toList();
			this.encoded = true;
			EndpointRecord record = this.call.endpoint().record();
			return StageRequests.post(record.address(), StageCalls.RUN_PATH, StageCalls.encode(this.items, nowMs),
					record.id());
		}

		@Override
		public boolean maySend() {
			long nowMs = StageCallDispatcher.this.clockMs.getAsLong();
			long wanted = this.items.stream().filter((item) -> this.queue.isWanted(item, nowMs)).count();
			boolean allWanted = !this.encoded || wanted == this.items.size();
			return wanted > 0 && allWanted && !this.call.endpoint().isSetAside(nowMs);
		}

		@Override
		public void headRead(EndpointAnswer newAnswer) {
			StageCallDispatcher.this.setAside.headRead(this.calledRecord, newAnswer);
		}

		@Override
		public void answered(EndpointAnswer newAnswer, HttpResponse head) {
			this.answer = newAnswer;
			this.memory = answerShare();
		}

		@Override
		public boolean received(ByteBuf content) {
			this.body.writeBytes(content);
			this.parts++;
			return this.parts <= MAX_ANSWER_PARTS && this.body.readableBytes() <= MAX_ANSWER_BYTES
					&& this.memory.hold(this.body.capacity());
		}

		// Answers to stage calls have no attempt id. Only results that were never
		// delivered show that an answer is no copy of an earlier one.
		@Override
		public boolean ended() {
			long nowMs = close();
			this.queue.scheduleDispatch();
			if (this.answer.isSuccess()) {
				return deliver(nowMs);
			}
			if (this.answer.notExecuted()) {
				refused(nowMs);
			}
			else {
				if (!this.answer.asksForRest()) {
					this.call.endpoint().failed(true, nowMs);
					recordAnswer(true, nowMs);
				}
				retryAll("status_" + this.answer.status(), true, nowMs);
			}
			return false;
		}

		private void refused(long nowMs) {
			if (this.answer.isMisdirected()) {
				this.call.endpoint().failed(true, nowMs);
			}
			else {
				this.call.endpoint().refused(nowMs + REFUSED_PAUSE_MS);
				StageCallDispatcher.this.brittle.callRejected(this.call.endpoint(), nowMs);
			}
			retryAll("refused_" + this.answer.status(), true, nowMs);
		}

		private boolean deliver(long nowMs) {
			List<WorkItemResult> results;
			try {
				results = StageCalls.decode(ByteBufUtil.getBytes(this.body), this.items.size());
			}
			catch (MalformedRecordException ex) {
				this.call.endpoint().failed(true, nowMs);
				recordAnswer(true, nowMs);
				retryAll("malformed", true, nowMs);
				return false;
			}
			List<String> handles = handles(results);
			if (!this.queue.recentHandles.add(handles.stream().map(this::ofProcess).toList())) {
				retryAll("copy", true, nowMs);
				return false;
			}
			StageCallDispatcher.this.setAside.accepted(this.calledRecord, this.answer, this.startedAtMs);
			this.call.endpoint().succeeded(nowMs - this.startedAtMs, this.call.expectedMs(), nowMs);
			recordAnswer(results.stream().anyMatch((result) -> result.failure() == WorkItemResult.Failure.ERROR),
					nowMs);
			StageCallDispatcher.this.metrics.time("stage_call", nowMs - this.startedAtMs);
			for (int i = 0; i < results.size(); i++) {
				deliver(this.items.get(i), results.get(i), nowMs);
			}
			return !handles.isEmpty();
		}

		// An endpoint that starts again may give the same handles again.
		private String ofProcess(String handle) {
			return this.calledRecord.startedAtMs() + " " + handle;
		}

		private static List<String> handles(List<WorkItemResult> results) {
			return results.stream().filter((result) -> result.failure() == null).map(WorkItemResult::handle).toList();
		}

		private void deliver(WorkItem item, WorkItemResult result, long nowMs) {
			Endpoint endpoint = this.call.endpoint();
			if (result.failure() == null) {
				this.queue.scheduler.recordResult(endpoint, result.handle(), item.resultBytes(), nowMs);
				WastedWork.ofResult(item, !this.queue.pendingItems.containsKey(item), nowMs)
					.ifPresent(StageCallDispatcher.this::count);
				this.queue.finish(item, WorkItemOutcome.done(item.itemId(), result.handle(),
						endpoint.record().failureDomain(), this.calledRecord.startedAtMs()));
				return;
			}
			EventLog.request("piece_failed", item.attemptId())
				.with("service", this.queue.service)
				.with("stage", item.stage())
				.with("endpoint", endpoint)
				.with("reason", result.failure())
				.write();
			if (result.failure() == WorkItemResult.Failure.LATE) {
				count(WastedWork.LATE);
				this.queue.finish(item, WorkItemOutcome.failed(item.itemId()));
			}
			else if (result.failure() == WorkItemResult.Failure.INPUT_GONE) {
				count(WastedWork.INPUT_GONE);
				this.queue.finish(item, WorkItemOutcome.inputGone(item.itemId()));
			}
			else if (result.failure() == WorkItemResult.Failure.NO_ROOM) {
				count(WastedWork.NO_ROOM);
				this.queue.scheduler.recordOutOfSpace(endpoint, nowMs);
				this.queue.requeue(item);
			}
			else {
				this.queue.retry(item, true, nowMs);
			}
		}

		@Override
		public void failed(CallFailure failure) {
			long nowMs = close();
			if (failure.isFault()) {
				this.call.endpoint().failed(true, nowMs);
				recordAnswer(true, nowMs);
			}
			retryAll(failure.name(), failure.mayHaveRun(), nowMs);
			this.queue.scheduleDispatch();
		}

		// The endpoint had a free slot, so it started the call at once and has read the
		// inputs by now.
		private void inputsRead() {
			if (this.finished || this.call.endpoint().longestFactor() > MAX_RELIABLE_SLOWDOWN_FACTOR) {
				return;
			}
			for (WorkItem item : this.items) {
				PendingItem pending = this.queue.pendingItems.get(item);
				if (pending != null && !item.inputs().isEmpty()) {
					pending.outcome.accept(WorkItemOutcome.inputsRead(item.itemId()));
				}
			}
		}

		// The endpoint can't be blamed for a call that was not sent yet.
		private void timedOut() {
			this.poolCall.cancel();
			failed((this.encoded) ? CallFailure.TIMED_OUT : CallFailure.WITHDRAWN);
		}

		private long close() {
			this.finished = true;
			this.timeout.cancel(false);
			if (this.memory != null) {
				this.memory.close();
			}
			this.queue.scheduler.ended(this.call);
			if (this.split != null) {
				this.split.ended(this, this.sentToUpdated);
			}
			return StageCallDispatcher.this.clockMs.getAsLong();
		}

		private void retryAll(String reason, boolean mayHaveRun, long nowMs) {
			EventLog.state("stage_call_failed")
				.with("service", this.queue.service)
				.with("endpoint", this.call.endpoint())
				.with("pieces", this.items.size())
				.with("reason", reason)
				.write();
			this.items.forEach((item) -> this.queue.retry(item, mayHaveRun, nowMs));
		}

	}

	/**
	 * A call that releases results. If it fails, the endpoint keeps them until they
	 * expire.
	 */
	private final class FreeCall implements EndpointCall {

		private final String address;

		private final List<String> handles;

		private final ByteBuf body = Unpooled.buffer(16);

		private int parts;

		private EndpointAnswer answer;

		private AnswerMemory.Share memory;

		private Future<?> timeout;

		private EndpointPool.RunningCall poolCall;

		private FreeCall(String address, List<String> handles) {
			this.address = address;
			this.handles = handles;
		}

		private void send() {
			// The timeout exists before the call can end.
			this.timeout = StageCallDispatcher.this.loop.schedule(this::timedOut, FREE_TIMEOUT_MS,
					TimeUnit.MILLISECONDS);
			this.poolCall = StageCallDispatcher.this.pool.send(this.address, () -> StageRequests.post(this.address,
					StageCalls.FREE_PATH, StageCalls.encodeFree(this.handles), null), this);
		}

		private void timedOut() {
			this.poolCall.cancel();
			failed(CallFailure.TIMED_OUT);
		}

		@Override
		public String attemptId() {
			return "";
		}

		@Override
		public boolean maySend() {
			long nowMs = StageCallDispatcher.this.clockMs.getAsLong();
			return StageCallDispatcher.this.view.directory()
				.findByAddress(this.address)
				.filter((endpoint) -> endpoint.isSetAside(nowMs))
				.isEmpty();
		}

		@Override
		public void headRead(EndpointAnswer newAnswer) {
			StageCallDispatcher.this.setAside.headRead(this.address, newAnswer);
		}

		@Override
		public void answered(EndpointAnswer newAnswer, HttpResponse head) {
			this.answer = newAnswer;
			this.memory = answerShare();
		}

		@Override
		public boolean received(ByteBuf content) {
			this.body.writeBytes(content);
			this.parts++;
			return this.parts <= MAX_ANSWER_PARTS && this.body.readableBytes() <= MAX_ANSWER_BYTES
					&& this.memory.hold(this.body.capacity());
		}

		@Override
		public boolean ended() {
			boolean freed = this.answer.isSuccess() && StageCalls.isFreeAnswer(ByteBufUtil.getBytes(this.body));
			if (freed) {
				close();
				recordFreed(this.address, this.handles);
			}
			else {
				failed(CallFailure.WRONG_ANSWER);
			}
			// A copy of the answer to an earlier release is not noticed here, but by the
			// next call with work items.
			return freed;
		}

		@Override
		public void failed(CallFailure failure) {
			close();
			logFreeFailed(this.address, this.handles, failure);
		}

		private void close() {
			this.timeout.cancel(false);
			if (this.memory != null) {
				this.memory.close();
			}
		}

	}

}
