package org.fulmargap.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import org.fulmargap.request.FailureType;
import org.fulmargap.request.Priority;

/**
 * Admits requests by weighted deficit round robin over the queues of the client accounts.
 * Higher priorities are served first. No slot stays idle while a request waits. A request
 * that is not expected to meet its deadline is refused when it arrives.
 */
public final class FairAdmission implements AdmissionController {

	/**
	 * The quantum per unit of weight and round, in milliseconds of expected work. It is
	 * about the cost of one typical request, which keeps rounds short.
	 */
	static final long QUANTUM_MS = 1_000;

	private static final int RATIO_WINDOW = 256;

	/**
	 * Under contention each request starts late, so a request that takes longer than
	 * expected would miss its deadline and its work would be wasted. The remaining time
	 * must suffice for this fraction of the recent requests.
	 */
	private static final double FIT_QUANTILE = 0.95;

	/**
	 * Upper bound of the recorded ratios. Without it a few very slow endpoints would
	 * cause all requests to be refused.
	 */
	private static final double MAX_DURATION_RATIO = 1.6;

	private final int maxQueuedPerAccount;

	private final int maxQueued;

	private final Map<Priority, PriorityLevel> levels = new EnumMap<>(Priority.class);

	private int slots;

	private int running;

	private int queued;

	private final double[] durationRatios = new double[RATIO_WINDOW];

	private int ratioCount;

	private double meanRatio = 1;

	private double highRatio = 1;

	/**
	 * Creates a controller without requests.
	 * @param slots the number of requests that may run at the same time, at least one
	 * @param maxQueuedPerAccount the maximum number of waiting requests per account and
	 * priority
	 * @param maxQueued the maximum number of waiting requests in total
	 */
	public FairAdmission(int slots, int maxQueuedPerAccount, int maxQueued) {
		if (slots < 1 || maxQueuedPerAccount < 1 || maxQueued < 1) {
			throw new IllegalArgumentException("slots and queue bounds must be at least 1");
		}
		this.slots = slots;
		this.maxQueuedPerAccount = maxQueuedPerAccount;
		this.maxQueued = maxQueued;
		for (Priority priority : Priority.values()) {
			this.levels.put(priority, new PriorityLevel());
		}
	}

	@Override
	public void admit(AdmissionRequest request, long nowMs, AdmissionListener listener) {
		List<Runnable> decisions = new ArrayList<>();
		synchronized (this) {
			QueuedRequest waiting = new QueuedRequest(request, listener);
			long waitMs = (this.running < this.slots) ? 0 : expectedWaitMs(request);
			if (this.running < this.slots && !waiting.isUnreachable(nowMs, 0, 1)) {
				start(waiting, nowMs, decisions);
			}
			else if (waiting.isUnreachable(nowMs, waitMs, this.highRatio)) {
				refuseUnreachable(waiting, waitMs, decisions);
			}
			else if (this.queued >= this.maxQueued
					|| this.levels.get(request.priority()).size(request.account()) >= this.maxQueuedPerAccount) {
				decisions.add(() -> listener.refused(new AdmissionRefusedException(FailureType.OVERLOADED, "QUEUE_FULL",
						"the queue of account " + request.account() + " is full", Math.max(1, waitMs))));
			}
			else {
				this.levels.get(request.priority()).add(waiting);
				this.queued++;
			}
		}
		decisions.forEach(Runnable::run);
	}

	@Override
	public void expire(long nowMs) {
		List<Runnable> decisions = new ArrayList<>();
		synchronized (this) {
			for (PriorityLevel level : this.levels.values()) {
				for (QueuedRequest waiting : level.removeUnreachable(nowMs, this.highRatio)) {
					this.queued--;
					refuseUnreachable(waiting, 0, decisions);
				}
			}
		}
		decisions.forEach(Runnable::run);
	}

	@Override
	public void setSlots(int slots, long nowMs) {
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be at least 1: " + slots);
		}
		List<Runnable> decisions = new ArrayList<>();
		synchronized (this) {
			this.slots = slots;
			dispatch(nowMs, decisions);
		}
		decisions.forEach(Runnable::run);
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the total length of all queues
	 */
	public synchronized int queued() {
		return this.queued;
	}

	/**
	 * Returns the number of running requests.
	 * @return the number of slots in use
	 */
	public synchronized int running() {
		return this.running;
	}

	private void release(AdmissionRequest request, long startedMs, long nowMs) {
		List<Runnable> decisions = new ArrayList<>();
		synchronized (this) {
			this.running--;
			if (request.expectedMs() > 0) {
				recordRatio(Math.min(MAX_DURATION_RATIO, (double) (nowMs - startedMs) / request.expectedMs()));
			}
			dispatch(nowMs, decisions);
		}
		decisions.forEach(Runnable::run);
	}

	private void recordRatio(double ratio) {
		this.meanRatio += (ratio - this.meanRatio) / 32;
		this.durationRatios[this.ratioCount++ % RATIO_WINDOW] = ratio;
		// Sorts only once in 32 releases, because sorting on each release is too
		// expensive for this estimate.
		if (this.ratioCount % (RATIO_WINDOW / 8) == 0) {
			double[] sorted = Arrays.copyOf(this.durationRatios, Math.min(this.ratioCount, RATIO_WINDOW));
			Arrays.sort(sorted);
			this.highRatio = Math.max(1, sorted[(int) (FIT_QUANTILE * sorted.length)]);
		}
	}

	private void dispatch(long nowMs, List<Runnable> decisions) {
		while (this.running < this.slots && this.queued > 0) {
			QueuedRequest waiting = next();
			this.queued--;
			if (waiting.isUnreachable(nowMs, 0, this.highRatio)) {
				refuseUnreachable(waiting, 0, decisions);
			}
			else {
				start(waiting, nowMs, decisions);
			}
		}
	}

	private QueuedRequest next() {
		Priority[] priorities = Priority.values();
		for (int i = priorities.length - 1; i >= 0; i--) {
			PriorityLevel level = this.levels.get(priorities[i]);
			if (!level.activeQueues.isEmpty()) {
				return level.next();
			}
		}
		throw new IllegalStateException("no request is waiting");
	}

	private void start(QueuedRequest waiting, long nowMs, List<Runnable> decisions) {
		this.running++;
		AtomicBoolean released = new AtomicBoolean();
		AdmissionListener.Permit permit = (releasedMs) -> {
			if (released.compareAndSet(false, true)) {
				release(waiting.request, nowMs, releasedMs);
			}
		};
		decisions.add(() -> waiting.listener.admitted(permit));
	}

	private void refuseUnreachable(QueuedRequest waiting, long waitMs, List<Runnable> decisions) {
		decisions.add(() -> waiting.listener.refused(new AdmissionRefusedException(FailureType.NOT_RUN,
				"DEADLINE_UNREACHABLE", "the request cannot be answered before its deadline", Math.max(1, waitMs))));
	}

	// Before a new request starts, all queued requests of higher priorities and of its
	// own account are served, and those of other accounts up to their weighted share.
	private long expectedWaitMs(AdmissionRequest request) {
		double aheadMs = cost(request);
		for (Map.Entry<Priority, PriorityLevel> entry : this.levels.entrySet()) {
			if (entry.getKey().compareTo(request.priority()) > 0) {
				aheadMs += entry.getValue().costMs;
			}
		}
		PriorityLevel level = this.levels.get(request.priority());
		AccountQueue own = level.queues.get(request.account());
		long ownMs = (own != null) ? own.costMs : 0;
		long ownWeight = (own != null) ? own.weight : 0;
		double othersMs = (double) (level.weight - ownWeight) / request.weight() * (ownMs + cost(request));
		aheadMs += ownMs + Math.min(level.costMs - ownMs, othersMs);
		return (long) (this.meanRatio * aheadMs / this.slots);
	}

	private static long cost(AdmissionRequest request) {
		return Math.max(1, request.expectedMs());
	}

	/**
	 * The account queues of one priority.
	 */
	private static final class PriorityLevel {

		private final Map<String, AccountQueue> queues = new HashMap<>();

		private final Deque<AccountQueue> activeQueues = new ArrayDeque<>();

		private long costMs;

		private long weight;

		private int size(String account) {
			AccountQueue queue = this.queues.get(account);
			return (queue != null) ? queue.requests.size() : 0;
		}

		private void add(QueuedRequest waiting) {
			AccountQueue queue = this.queues.get(waiting.request.account());
			if (queue == null) {
				queue = new AccountQueue(waiting.request.account(), waiting.request.weight());
				this.queues.put(queue.account, queue);
				this.activeQueues.addLast(queue);
				this.weight += queue.weight;
			}
			queue.requests.addLast(waiting);
			queue.costMs += cost(waiting.request);
			this.costMs += cost(waiting.request);
		}

		private QueuedRequest next() {
			while (true) {
				AccountQueue queue = this.activeQueues.getFirst();
				if (!queue.quantumAdded) {
					queue.quantumAdded = true;
					queue.deficitMs += QUANTUM_MS * queue.weight;
				}
				long headMs = cost(queue.requests.getFirst().request);
				if (headMs <= queue.deficitMs) {
					queue.deficitMs -= headMs;
					QueuedRequest waiting = queue.requests.removeFirst();
					afterRemoval(queue, waiting);
					return waiting;
				}
				queue.quantumAdded = false;
				this.activeQueues.addLast(this.activeQueues.removeFirst());
			}
		}

		private List<QueuedRequest> removeUnreachable(long nowMs, double ratio) {
			List<QueuedRequest> removed = new ArrayList<>();
			for (AccountQueue queue : List.copyOf(this.activeQueues)) {
				for (Iterator<QueuedRequest> i = queue.requests.iterator(); i.hasNext();) {
					QueuedRequest waiting = i.next();
					if (waiting.isUnreachable(nowMs, 0, ratio)) {
						i.remove();
						afterRemoval(queue, waiting);
						removed.add(waiting);
					}
				}
			}
			return removed;
		}

		private void afterRemoval(AccountQueue queue, QueuedRequest waiting) {
			queue.costMs -= cost(waiting.request);
			this.costMs -= cost(waiting.request);
			if (queue.requests.isEmpty()) {
				this.queues.remove(queue.account);
				this.activeQueues.remove(queue);
				this.weight -= queue.weight;
			}
		}

	}

	/**
	 * The waiting requests of one account.
	 */
	private static final class AccountQueue {

		private final String account;

		private final int weight;

		private final Deque<QueuedRequest> requests = new ArrayDeque<>();

		private long costMs;

		private long deficitMs;

		private boolean quantumAdded;

		private AccountQueue(String account, int weight) {
			this.account = account;
			this.weight = weight;
		}

	}

	private record QueuedRequest(AdmissionRequest request, AdmissionListener listener) {

		private boolean isUnreachable(long nowMs, long waitMs, double ratio) {
			return this.request.deadline().isPassed(nowMs)
					|| this.request.deadline().remainingMs(nowMs) < waitMs + ratio * this.request.expectedMs();
		}

	}

}
