package org.fulmargap.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.fulmargap.catalog.StageCapacity;
import org.fulmargap.placement.Endpoint;

/**
 * Batches the work items of all entry VMs into calls to the endpoints of one stage
 * service. An endpoint gets its next call when it has a free slot, and the work items
 * that arrived in the meantime share that call. Batches therefore grow with the load, and
 * no work item is delayed only to fill a batch.
 * <p>
 * Work items are scheduled earliest deadline first, where a less urgent priority counts
 * as a later deadline. In an overload that order alone would make every request late, so
 * work items that can no longer be in time wait behind those that still can.
 * <p>
 * Where the speeds of the endpoints differ clearly, work items go where they end first.
 * They may wait for a faster endpoint, and the calls of a slow one hold only as many as
 * their deadlines allow.
 * <p>
 * The space for results limits the throughput more than the time of the endpoints does.
 * The work items of one stage of one request are put into the same call if possible,
 * because the results of the first ones occupy space until the last one is done. Results
 * that were read are evicted when space is needed for others. Confined to one thread.
 */
public final class BatchScheduler {

	/**
	 * How much later the deadline counts for each step of priority below the most urgent
	 * one, in milliseconds.
	 */
	private static final long PRIORITY_STEP_MS = 600;

	/**
	 * The factor by which results may exceed their configured size, which is approximate.
	 */
	private static final double SIZE_MARGIN = 1.05;

	/**
	 * The number of most urgent work items from which a call is formed, as a multiple of
	 * the batch size.
	 */
	private static final double CANDIDATE_BATCHES = 2.5;

	/**
	 * The number of calls whose candidates are considered when endpoints differ in speed.
	 * Each of them costs the coordinator processor time, at every free endpoint.
	 */
	private static final int MAX_CANDIDATE_CALLS = 3;

	/**
	 * With more work items waiting than this multiple of the batch size, no endpoint is
	 * left idle for the sake of locality.
	 */
	private static final int MAX_BATCHES_FOR_LOCALITY = 2;

	private static final Comparator<WorkItem> MOST_URGENT = Comparator.comparingLong(BatchScheduler::urgencyMs)
		.thenComparing(WorkItem::attemptId)
		.thenComparingInt(WorkItem::stage)
		.thenComparingLong(WorkItem::itemId);

	private final TreeSet<WorkItem> waiting = new TreeSet<>(MOST_URGENT);

	private final TreeSet<WorkItem> late = new TreeSet<>(MOST_URGENT);

	private final Map<String, ResultSpace> resultSpaces = new HashMap<>();

	private long newestResultBytes;

	private final boolean bySpeed;

	private StageCapacity capacity;

	/**
	 * Creates a scheduler that takes the speeds of endpoints into account.
	 * @param capacity the capacity of one endpoint
	 */
	public BatchScheduler(StageCapacity capacity) {
		this(capacity, true);
	}

	/**
	 * Creates a scheduler.
	 * @param capacity the capacity of one endpoint
	 * @param bySpeed whether work items go where they end first when endpoints differ
	 * clearly in speed
	 */
	public BatchScheduler(StageCapacity capacity, boolean bySpeed) {
		this.capacity = capacity;
		this.bySpeed = bySpeed;
	}

	private static long urgencyMs(WorkItem item) {
		return item.dueAtMs() + item.priority() * PRIORITY_STEP_MS;
	}

	/**
	 * Replaces the capacity after a change of the configuration.
	 * @param capacity the capacity of one endpoint
	 */
	public void capacity(StageCapacity capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds a work item to the waiting ones.
	 * @param item the work item
	 */
	public void add(WorkItem item) {
		this.waiting.add(item);
	}

	/**
	 * Removes a work item that is waiting.
	 * @param item the work item
	 * @return whether it was waiting
	 */
	public boolean remove(WorkItem item) {
		return this.waiting.remove(item) || this.late.remove(item);
	}

	/**
	 * Removes all waiting work items, including late ones.
	 * @return the work items
	 */
	public List<WorkItem> removeAll() {
		List<WorkItem> removed = new ArrayList<>(this.waiting);
		removed.addAll(this.late);
		this.waiting.clear();
		this.late.clear();
		return removed;
	}

	/**
	 * Returns the number of waiting work items, including late ones.
	 * @return the number of work items
	 */
	public int waitingCount() {
		return this.waiting.size() + this.late.size();
	}

	/**
	 * Returns the number of waiting work items that {@link #expire} found to be late.
	 * @return the number of work items
	 */
	public int lateCount() {
		return this.late.size();
	}

	/**
	 * Returns the number of work items of a call that are local to its endpoint.
	 * @param call the call
	 * @return the number of work items
	 */
	public int localCount(StageCall call) {
		return (int) call.items()
			.stream()
			.filter((item) -> item.isLocal(call.endpoint().record().failureDomain()))
			.count();
	}

	/**
	 * Returns the space for further results at an endpoint.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 * @return the free space in bytes; negative if more is used than the capacity allows
	 */
	public long freeBytes(Endpoint endpoint, long nowMs) {
		return usableBytes() - resultSpace(endpoint).usedBytes(nowMs);
	}

	/**
	 * Removes the work items that can't be done before they expire, given the work items
	 * ahead of them. Moves those that will miss their deadline behind the others.
	 * @param endpoints the number of available endpoints
	 * @param nowMs the current time in milliseconds
	 * @return the removed work items
	 */
	public List<WorkItem> expire(int endpoints, long nowMs) {
		// The more work items wait, the larger the next batch is and the longer it takes.
		double expectedCallMs = expectedMs(Math.min(this.capacity.batch(), Math.max(1, waitingCount())));
		for (Iterator<WorkItem> i = this.waiting.iterator(); i.hasNext();) {
			WorkItem item = i.next();
			if (nowMs + expectedCallMs > item.dueAtMs()) {
				this.late.add(item);
				i.remove();
			}
		}
		List<WorkItem> expired = new ArrayList<>();
		expire(this.waiting, endpoints, nowMs + expectedCallMs, 0, expired);
		expire(this.late, endpoints, nowMs + expectedCallMs, this.waiting.size(), expired);
		return expired;
	}

	private void expire(TreeSet<WorkItem> items, int endpoints, double doneAtMs, int itemsAhead,
			List<WorkItem> expired) {
		double itemMs = expectedMs(this.capacity.batch()) / this.capacity.batch() / Math.max(1, endpoints);
		int position = itemsAhead;
		for (Iterator<WorkItem> i = items.iterator(); i.hasNext();) {
			WorkItem item = i.next();
			if (doneAtMs + position * itemMs > item.expiresAtMs()) {
				expired.add(item);
				i.remove();
			}
			else {
				position++;
			}
		}
	}

	/**
	 * Forms the next call and removes its work items from the waiting ones.
	 * @param endpoints the available endpoints
	 * @param nowMs the current time in milliseconds
	 * @return the call, or empty if no work item waits, if no endpoint has a free slot
	 * and enough result space, or if the work items wait for a local endpoint
	 */
	public Optional<StageCall> next(List<Endpoint> endpoints, long nowMs) {
		List<Endpoint> free = endpoints.stream().filter((endpoint) -> isFree(endpoint, nowMs)).toList();
		if (waitingCount() == 0 || free.isEmpty()) {
			return Optional.empty();
		}
		if (this.bySpeed && EndTimes.matter(endpoints, nowMs)) {
			return nextBySpeed(free, endpoints, nowMs);
		}
		List<WorkItemGroup> groups = candidates(1);
		for (WorkItemGroup group : groups) {
			Optional<Endpoint> best = best(group, free, nowMs);
			if (best.isPresent() && !waitsForLocal(group, best.get(), endpoints, nowMs)) {
				return Optional.of(createCall(best.get(), group, groups, endpoints, nowMs));
			}
		}
		return Optional.empty();
	}

	private Optional<StageCall> nextBySpeed(List<Endpoint> free, List<Endpoint> endpoints, long nowMs) {
		EndTimes endTimes = endTimes(endpoints, nowMs);
		// Groups that wait for busy endpoints must not hide those that don't.
		List<WorkItemGroup> groups = candidates(Math.min(MAX_CANDIDATE_CALLS, endpoints.size()));
		Endpoint lateEndpoint = null;
		int lateFrom = 0;
		for (int i = 0; i < groups.size(); i++) {
			WorkItemGroup group = groups.get(i);
			Endpoint best = best(group, free, endTimes, nowMs);
			boolean waits = best == null || waitsForLocal(group, best, endpoints, endTimes, nowMs)
					|| endTimes.waitsForFaster(group, best, 0, (busy) -> freeBytes(busy, nowMs));
			if (waits) {
				continue;
			}
			boolean inTime = endTimes.endMs(best, group.items().size()) <= group.first().dueAtMs();
			if (inTime || endTimes.speedClass(best) == 0) {
				return Optional.of(createCall(best, groups, i, endpoints, endTimes, nowMs));
			}
			if (lateEndpoint == null) {
				lateEndpoint = best;
				lateFrom = i;
			}
		}
		return (lateEndpoint != null)
				? Optional.of(createCall(lateEndpoint, groups, lateFrom, endpoints, endTimes, nowMs))
				: Optional.empty();
	}

	private EndTimes endTimes(List<Endpoint> endpoints, long nowMs) {
		EndTimes endTimes = new EndTimes(endpoints, this::expectedMs, this.capacity.batch(), nowMs);
		for (Endpoint endpoint : endpoints) {
			if (!isFree(endpoint, nowMs) && !endpoint.isSuspended(nowMs)) {
				endTimes.busy(endpoint, resultSpace(endpoint).callEndsAtMs());
			}
		}
		return endTimes;
	}

	private Endpoint best(WorkItemGroup group, List<Endpoint> free, EndTimes endTimes, long nowMs) {
		return free.stream()
			.filter((endpoint) -> freeBytes(endpoint, nowMs) >= group.resultBytes())
			.min(Comparator.comparingInt(endTimes::speedClass)
				.thenComparing((endpoint) -> !group.isLocal(endpoint))
				.thenComparing((endpoint) -> -freeBytes(endpoint, nowMs)))
			.orElse(null);
	}

	private boolean waitsForLocal(WorkItemGroup group, Endpoint endpoint, List<Endpoint> endpoints, EndTimes endTimes,
			long nowMs) {
		if (group.isLocal(endpoint) || waitingCount() > this.capacity.batch() * MAX_BATCHES_FOR_LOCALITY) {
			return false;
		}
		return endpoints.stream()
			.anyMatch((local) -> group.isLocal(local) && !local.isSuspended(nowMs)
					&& endTimes.speedClass(local) <= endTimes.speedClass(endpoint) && resultSpace(local)
						.callEndsAtMs() <= group.first().dueAtMs() - fullCallMs() * endTimes.factor(local));
	}

	// A call of one of the fastest endpoints is formed as usual. Otherwise, it gets no
	// group that ends first elsewhere or that makes another one late.
	private StageCall createCall(Endpoint endpoint, List<WorkItemGroup> groups, int from, List<Endpoint> endpoints,
			EndTimes endTimes, long nowMs) {
		WorkItemGroup first = groups.get(from);
		int maxItems = (int) (this.capacity.batch() * CANDIDATE_BATCHES);
		boolean slow = endTimes.isSlow(endpoint);
		long remainingBytes = freeBytes(endpoint, nowMs) - first.resultBytes();
		List<WorkItem> items = new ArrayList<>(first.items());
		List<WorkItemGroup> considered = urgent(groups.subList((slow) ? from : 0, groups.size()), maxItems);
		for (boolean local : new boolean[] { true, false }) {
			for (WorkItemGroup group : considered) {
				boolean fits = items.size() + group.items().size() <= this.capacity.batch()
						&& group.resultBytes() <= remainingBytes;
				if (fits && group != first && group.isLocal(endpoint) == local
						&& !waitsForLocal(group, endpoint, endpoints, endTimes, nowMs)
						&& !(slow && isWorseFor(items, group, endpoint, endTimes, nowMs))) {
					items.addAll(group.items());
					remainingBytes -= group.resultBytes();
				}
			}
		}
		if (!slow && waitingCount() - items.size() >= this.capacity.batch()) {
			remainingBytes = addPartialGroups(items, considered, remainingBytes);
		}
		return started(endpoint, items, remainingBytes, endTimes.factor(endpoint), nowMs);
	}

	private static List<WorkItemGroup> urgent(List<WorkItemGroup> groups, int maxItems) {
		int items = 0;
		int count = 0;
		while (count < groups.size() && items < maxItems) {
			items += groups.get(count).items().size();
			count++;
		}
		return groups.subList(0, count);
	}

	// Whether a group would make a work item of a call late, would be late itself
	// although
	// another call could still be in time, or ends first at a faster endpoint.
	private boolean isWorseFor(List<WorkItem> items, WorkItemGroup group, Endpoint endpoint, EndTimes endTimes,
			long nowMs) {
		double endMs = endTimes.endMs(endpoint, items.size());
		double laterMs = endTimes.endMs(endpoint, items.size() + group.items().size());
		long dueAtMs = group.first().dueAtMs();
		boolean avoidablyLate = laterMs > dueAtMs && endTimes.earliestEndMs(group.items().size()) <= dueAtMs;
		return avoidablyLate || items.stream().anyMatch((item) -> endMs <= item.dueAtMs() && laterMs > item.dueAtMs())
				|| endTimes.waitsForFaster(group, endpoint, items.size(), (busy) -> freeBytes(busy, nowMs));
	}

	private boolean isFree(Endpoint endpoint, long nowMs) {
		return !endpoint.isSuspended(nowMs) && resultSpace(endpoint).callsInFlight() < this.capacity.slots();
	}

	private Optional<Endpoint> best(WorkItemGroup group, List<Endpoint> free, long nowMs) {
		Endpoint best = null;
		for (Endpoint endpoint : free) {
			boolean fits = freeBytes(endpoint, nowMs) >= group.resultBytes();
			if (fits && (best == null || isBetter(group, endpoint, best, nowMs))) {
				best = endpoint;
			}
		}
		return Optional.ofNullable(best);
	}

	private boolean isBetter(WorkItemGroup group, Endpoint endpoint, Endpoint best, long nowMs) {
		int bySpeed = Double.compare(Math.round(endpoint.slowdownFactor()), Math.round(best.slowdownFactor()));
		if (bySpeed != 0) {
			return bySpeed < 0;
		}
		int byDomain = Boolean.compare(group.isLocal(endpoint), group.isLocal(best));
		return byDomain > 0 || (byDomain == 0 && freeBytes(endpoint, nowMs) > freeBytes(best, nowMs));
	}

	// Avoids reading large inputs from another failure domain if a local endpoint ends
	// its call early enough. With many work items waiting, no endpoint is left idle.
	private boolean waitsForLocal(WorkItemGroup group, Endpoint endpoint, List<Endpoint> endpoints, long nowMs) {
		if (group.isLocal(endpoint) || waitingCount() > this.capacity.batch() * MAX_BATCHES_FOR_LOCALITY) {
			return false;
		}
		double latestStartMs = group.first().dueAtMs() - expectedMs(this.capacity.batch());
		return endpoints.stream()
			.anyMatch((local) -> group.isLocal(local) && !local.isSuspended(nowMs)
					&& resultSpace(local).callEndsAtMs() <= latestStartMs);
	}

	private StageCall createCall(Endpoint endpoint, WorkItemGroup first, List<WorkItemGroup> groups,
			List<Endpoint> endpoints, long nowMs) {
		List<WorkItem> items = new ArrayList<>(first.items());
		long remainingBytes = freeBytes(endpoint, nowMs) - first.resultBytes();
		// Among the most urgent groups, those local to the endpoint are added first.
		for (boolean local : new boolean[] { true, false }) {
			for (WorkItemGroup group : groups) {
				boolean fits = items.size() + group.items().size() <= this.capacity.batch()
						&& group.resultBytes() <= remainingBytes;
				if (fits && group != first && group.isLocal(endpoint) == local
						&& !waitsForLocal(group, endpoint, endpoints, nowMs)) {
					items.addAll(group.items());
					remainingBytes -= group.resultBytes();
				}
			}
		}
		if (waitingCount() - items.size() >= this.capacity.batch()) {
			remainingBytes = addPartialGroups(items, groups, remainingBytes);
		}
		return started(endpoint, items, remainingBytes, endpoint.slowdownFactor(), nowMs);
	}

	private StageCall started(Endpoint endpoint, List<WorkItem> items, long remainingBytes, double factor, long nowMs) {
		items.forEach(this::remove);
		double expectedMs = expectedMs(items.size());
		resultSpace(endpoint).callStarted(freeBytes(endpoint, nowMs) - remainingBytes, nowMs + expectedMs * factor);
		return new StageCall(endpoint, List.copyOf(items), expectedMs);
	}

	// If a full batch remains waiting, filling this one matters more than keeping the
	// work items of a request together.
	private long addPartialGroups(List<WorkItem> items, List<WorkItemGroup> groups, long freeBytes) {
		long remainingBytes = freeBytes;
		for (WorkItemGroup group : groups) {
			if (items.contains(group.first())) {
				continue;
			}
			for (WorkItem item : group.items()) {
				if (items.size() < this.capacity.batch() && item.resultBytes() <= remainingBytes) {
					items.add(item);
					remainingBytes -= item.resultBytes();
				}
			}
		}
		return remainingBytes;
	}

	private List<WorkItemGroup> candidates(int calls) {
		int maxCandidates = (int) (this.capacity.batch() * CANDIDATE_BATCHES * calls);
		List<WorkItem> candidates = new ArrayList<>(maxCandidates);
		for (Iterator<WorkItem> i = this.waiting.iterator(); i.hasNext() && candidates.size() < maxCandidates;) {
			candidates.add(i.next());
		}
		for (Iterator<WorkItem> i = this.late.iterator(); i.hasNext() && candidates.size() < maxCandidates;) {
			candidates.add(i.next());
		}
		return WorkItemGroup.of(candidates)
			.stream()
			.map((group) -> group.limitedTo(this.capacity.batch(), usableBytes()))
			.toList();
	}

	/**
	 * Returns the expected time of a call at an endpoint of usual speed.
	 * @param items the number of work items
	 * @return the time in milliseconds
	 */
	public double expectedMs(int items) {
		return this.capacity.callOverheadMs() + items * this.capacity.itemMs();
	}

	/**
	 * Returns the expected time of a call with as many work items as possible.
	 * @return the time in milliseconds
	 */
	public double fullCallMs() {
		return expectedMs(this.capacity.batch());
	}

	/**
	 * Records the end of a call, whether it succeeded or failed.
	 * @param call the call
	 */
	public void ended(StageCall call) {
		resultSpace(call.endpoint()).callEnded(call.items().stream().mapToLong(WorkItem::resultBytes).sum());
	}

	/**
	 * Records a result of a call. It counts as used space until it is released or its
	 * lifetime ends.
	 * @param endpoint the endpoint that keeps the result
	 * @param handle the handle of the result
	 * @param resultBytes its size in bytes
	 * @param nowMs the current time in milliseconds
	 */
	public void recordResult(Endpoint endpoint, String handle, long resultBytes, long nowMs) {
		this.newestResultBytes = resultBytes;
		resultSpace(endpoint).recordResult(handle, resultBytes, nowMs + this.capacity.resultLifetimeMs());
	}

	/**
	 * Records that an endpoint ran out of space for a result although this scheduler
	 * counted some as free. That space holds results of calls made by an earlier
	 * coordinator. It counts as used and becomes free evenly over the lifetime of a
	 * result.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 */
	public void recordOutOfSpace(Endpoint endpoint, long nowMs) {
		resultSpace(endpoint).recordOutOfSpace(freeBytes(endpoint, nowMs), this.capacity.resultLifetimeMs(), nowMs);
	}

	/**
	 * Records that an endpoint no longer keeps a result.
	 * @param endpointId the name of the endpoint
	 * @param handle the handle of the result; if unknown, the result of an earlier
	 * coordinator is assumed, with the size of the newest known result
	 */
	public void release(String endpointId, String handle) {
		ResultSpace resultSpace = this.resultSpaces.get(endpointId);
		if (resultSpace != null && !resultSpace.release(handle)) {
			resultSpace.untrackedReleased(this.newestResultBytes);
		}
	}

	/**
	 * Marks a result as evictable: it will be needed again only if a call fails.
	 * @param handle the handle of the result
	 */
	public void markEvictable(String handle) {
		this.resultSpaces.values().forEach((resultSpace) -> resultSpace.markEvictable(handle));
	}

	/**
	 * Chooses evictable results that must be released so that each endpoint has space for
	 * the results of a full batch. Chooses none while no work items wait. The caller
	 * releases the results at the endpoints and then calls {@link #release}.
	 * @param nowMs the current time in milliseconds
	 * @return the handles of the results
	 */
	public List<String> evict(long nowMs) {
		List<String> handles = new ArrayList<>();
		if (waitingCount() > 0) {
			WorkItem first = candidates(1).get(0).first();
			long batchBytes = first.resultBytes() * this.capacity.batch();
			for (ResultSpace resultSpace : this.resultSpaces.values()) {
				long freeBytes = usableBytes() - resultSpace.usedBytes(nowMs);
				handles.addAll(resultSpace.evict(batchBytes - freeBytes));
			}
		}
		return handles;
	}

	private long usableBytes() {
		return (long) (this.capacity.resultSpaceBytes() / SIZE_MARGIN);
	}

	private ResultSpace resultSpace(Endpoint endpoint) {
		return this.resultSpaces.computeIfAbsent(endpoint.record().id(), (id) -> new ResultSpace());
	}

}
