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
 * Forms the calls to the endpoints of one stage service out of the work items of all
 * entry VMs. An endpoint gets its next call when the one before is done, so that work
 * items which arrive meanwhile share that call: on busy days calls fill up by themselves,
 * on calm days no work item waits for company.
 * <p>
 * The most urgent work items go first: those of more urgent requests, then those that are
 * due earlier. In an overload that order alone would make every request late, so work
 * items that are late already wait behind those that can still be in time.
 * <p>
 * Room for results binds before the time of the endpoints does. The work items of one
 * stage of one request share a call where they can, because the results of the first ones
 * take up room until the last one is done, and results that were read may go when others
 * need their room. Confined to one thread.
 */
public final class BatchScheduler {

	/**
	 * How much earlier a work item is due for each rank of its request, in milliseconds.
	 */
	private static final long RANK_MS = 600;

	/**
	 * How much larger results may be than the configuration says, which is approximate.
	 */
	private static final double SIZE_MARGIN = 1.05;

	/** A call is chosen among the most urgent work items: this many times its size. */
	private static final double CANDIDATE_BATCHES = 2.5;

	/** While this many full calls wait, no endpoint is left idle. */
	private static final int BUSY_BATCHES = 2;

	private static final Comparator<WorkItem> MOST_URGENT = Comparator.comparingLong(BatchScheduler::urgencyMs)
		.thenComparing(WorkItem::attemptId)
		.thenComparingInt(WorkItem::stage)
		.thenComparingLong(WorkItem::itemId);

	private final TreeSet<WorkItem> waiting = new TreeSet<>(MOST_URGENT);

	private final TreeSet<WorkItem> late = new TreeSet<>(MOST_URGENT);

	private final Map<String, ResultSpace> resultSpaces = new HashMap<>();

	private long newestResultBytes;

	private StageCapacity capacity;

	/**
	 * Creates a scheduler.
	 * @param capacity what one endpoint can take
	 */
	public BatchScheduler(StageCapacity capacity) {
		this.capacity = capacity;
	}

	private static long urgencyMs(WorkItem item) {
		return item.dueAtMs() + item.priority() * RANK_MS;
	}

	/**
	 * Replaces the capacity after a change of the configuration.
	 * @param capacity what one endpoint can take
	 */
	public void capacity(StageCapacity capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds a work item.
	 * @param item the work item
	 */
	public void add(WorkItem item) {
		this.waiting.add(item);
	}

	/**
	 * Removes a work item that waits.
	 * @param item the work item
	 * @return whether it was waiting
	 */
	public boolean remove(WorkItem item) {
		return this.waiting.remove(item) || this.late.remove(item);
	}

	/**
	 * Returns the number of work items that wait.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size() + this.late.size();
	}

	/**
	 * Returns the number of work items that wait although they are late already.
	 * @return the number
	 */
	public int lateCount() {
		return this.late.size();
	}

	/**
	 * Returns the number of work items of a call whose inputs lie beside its endpoint.
	 * @param call the call
	 * @return the number
	 */
	public int localCount(StageCall call) {
		return (int) call.items()
			.stream()
			.filter((item) -> item.isLocal(call.endpoint().record().failureDomain()))
			.count();
	}

	/**
	 * Returns the room for further results at an endpoint.
	 * @param endpoint the endpoint
	 * @param nowMs the present time in milliseconds
	 * @return the room in bytes
	 */
	public long freeBytes(Endpoint endpoint, long nowMs) {
		return usableBytes() - resultSpace(endpoint).usedBytes(nowMs);
	}

	/**
	 * Removes the work items that can't be done any more while somebody can use them,
	 * counting the work items before them, and puts the late ones behind the others.
	 * @param endpoints the number of endpoints that work
	 * @param nowMs the present time in milliseconds
	 * @return the removed work items
	 */
	public List<WorkItem> expire(int endpoints, long nowMs) {
		// While many work items wait, calls are full and take longer.
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
	 * Forms the next call.
	 * @param endpoints the endpoints that may get work
	 * @param nowMs the present time in milliseconds
	 * @return the call, or empty if no work item waits or no endpoint is free
	 */
	public Optional<StageCall> next(List<Endpoint> endpoints, long nowMs) {
		List<Endpoint> free = endpoints.stream().filter((endpoint) -> isFree(endpoint, nowMs)).toList();
		if (waitingCount() == 0 || free.isEmpty()) {
			return Optional.empty();
		}
		List<WorkItemGroup> groups = candidates();
		for (WorkItemGroup group : groups) {
			Optional<Endpoint> best = best(group, free, nowMs);
			if (best.isPresent() && !waitsForLocal(group, best.get(), endpoints, nowMs)) {
				return Optional.of(take(best.get(), group, groups, endpoints, nowMs));
			}
		}
		return Optional.empty();
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

	// Large inputs are not moved to another failure domain if an endpoint beside them is
	// done with its call soon enough. While many work items wait, no endpoint is left
	// idle.
	private boolean waitsForLocal(WorkItemGroup group, Endpoint endpoint, List<Endpoint> endpoints, long nowMs) {
		if (group.isLocal(endpoint) || waitingCount() > this.capacity.batch() * BUSY_BATCHES) {
			return false;
		}
		double latestStartMs = group.first().dueAtMs() - expectedMs(this.capacity.batch());
		return endpoints.stream()
			.anyMatch((local) -> group.isLocal(local) && !local.isSuspended(nowMs)
					&& resultSpace(local).callEndsAtMs() <= latestStartMs);
	}

	private StageCall take(Endpoint endpoint, WorkItemGroup first, List<WorkItemGroup> groups, List<Endpoint> endpoints,
			long nowMs) {
		long freeBytes = freeBytes(endpoint, nowMs);
		List<WorkItem> items = new ArrayList<>(first.items());
		long leftBytes = freeBytes - first.resultBytes();
		// Groups whose inputs lie beside the endpoint go first among the most urgent
		// ones.
		for (boolean local : new boolean[] { true, false }) {
			for (WorkItemGroup group : groups) {
				boolean fits = items.size() + group.items().size() <= this.capacity.batch()
						&& group.resultBytes() <= leftBytes;
				if (fits && group != first && group.isLocal(endpoint) == local
						&& !waitsForLocal(group, endpoint, endpoints, nowMs)) {
					items.addAll(group.items());
					leftBytes -= group.resultBytes();
				}
			}
		}
		if (waitingCount() - items.size() >= this.capacity.batch()) {
			leftBytes = fill(items, groups, leftBytes);
		}
		items.forEach(this::remove);
		double expectedMs = expectedMs(items.size());
		resultSpace(endpoint).callStarted(freeBytes - leftBytes, nowMs + expectedMs * endpoint.slowdownFactor());
		return new StageCall(endpoint, List.copyOf(items), expectedMs);
	}

	// While full calls wait, room in a call is worth more than whole requests.
	private long fill(List<WorkItem> items, List<WorkItemGroup> groups, long freeBytes) {
		long leftBytes = freeBytes;
		for (WorkItemGroup group : groups) {
			if (items.contains(group.first())) {
				continue;
			}
			for (WorkItem item : group.items()) {
				if (items.size() < this.capacity.batch() && item.resultBytes() <= leftBytes) {
					items.add(item);
					leftBytes -= item.resultBytes();
				}
			}
		}
		return leftBytes;
	}

	private List<WorkItemGroup> candidates() {
		int most = (int) (this.capacity.batch() * CANDIDATE_BATCHES);
		List<WorkItem> candidates = new ArrayList<>(most);
		for (Iterator<WorkItem> i = this.waiting.iterator(); i.hasNext() && candidates.size() < most;) {
			candidates.add(i.next());
		}
		for (Iterator<WorkItem> i = this.late.iterator(); i.hasNext() && candidates.size() < most;) {
			candidates.add(i.next());
		}
		return WorkItemGroup.of(candidates)
			.stream()
			.map((group) -> group.atMost(this.capacity.batch(), usableBytes()))
			.toList();
	}

	/**
	 * Returns the time that a call takes at an endpoint of usual speed.
	 * @param items the number of work items
	 * @return the time in milliseconds
	 */
	public double expectedMs(int items) {
		return this.capacity.callOverheadMs() + items * this.capacity.itemMs();
	}

	/**
	 * Records the end of a call, whatever came of it.
	 * @param call the call
	 */
	public void ended(StageCall call) {
		resultSpace(call.endpoint()).callEnded(call.items().stream().mapToLong(WorkItem::resultBytes).sum());
	}

	/**
	 * Records a result.
	 * @param endpoint the endpoint that keeps it
	 * @param handle the name of the result
	 * @param resultBytes its size in bytes
	 * @param nowMs the present time in milliseconds
	 */
	public void recordResult(Endpoint endpoint, String handle, long resultBytes, long nowMs) {
		this.newestResultBytes = resultBytes;
		resultSpace(endpoint).recordResult(handle, resultBytes, nowMs + this.capacity.resultLifetimeMs());
	}

	/**
	 * Records that an endpoint had no room for the results of a call, although there
	 * should have been: another VM was in charge before.
	 * @param endpoint the endpoint
	 * @param nowMs the present time in milliseconds
	 */
	public void recordOutOfSpace(Endpoint endpoint, long nowMs) {
		resultSpace(endpoint).recordOutOfSpace(freeBytes(endpoint, nowMs), this.capacity.resultLifetimeMs(), nowMs);
	}

	/**
	 * Records that a result no longer takes up room.
	 * @param endpointId the endpoint that kept it
	 * @param handle the name of the result
	 */
	public void release(String endpointId, String handle) {
		ResultSpace resultSpace = this.resultSpaces.get(endpointId);
		if (resultSpace != null && !resultSpace.release(handle)) {
			resultSpace.unownedReleased(this.newestResultBytes);
		}
	}

	/**
	 * Records that a result is needed again only if a call fails.
	 * @param handle the name of the result
	 */
	public void markEvictable(String handle) {
		this.resultSpaces.values().forEach((resultSpace) -> resultSpace.markEvictable(handle));
	}

	/**
	 * Chooses results that may go because others need their room: while work items wait,
	 * an endpoint should have room for a full call.
	 * @param nowMs the present time in milliseconds
	 * @return the names of the results
	 */
	public List<String> evict(long nowMs) {
		List<String> handles = new ArrayList<>();
		if (waitingCount() > 0) {
			WorkItem first = candidates().get(0).first();
			long wantedBytes = first.resultBytes() * this.capacity.batch();
			for (ResultSpace resultSpace : this.resultSpaces.values()) {
				long freeBytes = usableBytes() - resultSpace.usedBytes(nowMs);
				handles.addAll(resultSpace.evict(wantedBytes - freeBytes));
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
