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
 * Higher priorities are served first. A slot is never idle while a request waits. A
 * request that cannot meet its deadline is refused when it arrives.
 */
public final class FairAdmission implements AdmissionController {

	/**
	 * The credit per unit of weight and round in milliseconds of expected work. It has
	 * the size of one usual request, which keeps rounds short.
	 */
	static final long QUANTUM_MS = 1_000;

	private static final int HOLD_RATIOS = 256;

	/**
	 * Under contention each request starts late, so one that takes longer than expected
	 * would miss its deadline and waste its work. This part of the requests must fit.
	 */
	private static final double FITTING_PART = 0.95;

	/** Keeps a few very slow endpoints from causing the refusal of everything. */
	private static final double MAX_RATIO = 1.6;

	private final int maxQueuedPerAccount;

	private final int maxQueued;

	private final Map<Priority, Level> levels = new EnumMap<>(Priority.class);

	private int slots;

	private int running;

	private int queued;

	private final double[] holdRatios = new double[HOLD_RATIOS];

	private int holds;

	private double meanRatio = 1;

	private double highRatio = 1;

	/**
	 * Creates a controller without requests.
	 * @param slots the number of requests that may run at the same time, at least one
	 * @param maxQueuedPerAccount the highest number of waiting requests per account and
	 * priority
	 * @param maxQueued the highest number of waiting requests in total
	 */
	public FairAdmission(int slots, int maxQueuedPerAccount, int maxQueued) {
		if (slots < 1 || maxQueuedPerAccount < 1 || maxQueued < 1) {
			throw new IllegalArgumentException("slots and queue bounds must be at least 1");
		}
		this.slots = slots;
		this.maxQueuedPerAccount = maxQueuedPerAccount;
		this.maxQueued = maxQueued;
		for (Priority priority : Priority.values()) {
			this.levels.put(priority, new Level());
		}
	}

	@Override
	public void admit(AdmissionRequest request, long nowMs, AdmissionListener listener) {
		List<Runnable> decisions = new ArrayList<>();
		synchronized (this) {
			Waiting waiting = new Waiting(request, listener);
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
			for (Level level : this.levels.values()) {
				for (Waiting waiting : level.removeUnreachable(nowMs, this.highRatio)) {
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
	 * @return the length of all queues together
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
				learn(Math.min(MAX_RATIO, (double) (nowMs - startedMs) / request.expectedMs()));
			}
			dispatch(nowMs, decisions);
		}
		decisions.forEach(Runnable::run);
	}

	private void learn(double ratio) {
		this.meanRatio += (ratio - this.meanRatio) / 32;
		this.holdRatios[this.holds++ % HOLD_RATIOS] = ratio;
		// Sorting on every release would cost more than the estimate is worth.
		if (this.holds % (HOLD_RATIOS / 8) == 0) {
			double[] sorted = Arrays.copyOf(this.holdRatios, Math.min(this.holds, HOLD_RATIOS));
			Arrays.sort(sorted);
			this.highRatio = Math.max(1, sorted[(int) (FITTING_PART * sorted.length)]);
		}
	}

	private void dispatch(long nowMs, List<Runnable> decisions) {
		while (this.running < this.slots && this.queued > 0) {
			Waiting waiting = next();
			this.queued--;
			if (waiting.isUnreachable(nowMs, 0, this.highRatio)) {
				refuseUnreachable(waiting, 0, decisions);
			}
			else {
				start(waiting, nowMs, decisions);
			}
		}
	}

	private Waiting next() {
		Priority[] priorities = Priority.values();
		for (int i = priorities.length - 1; i >= 0; i--) {
			Level level = this.levels.get(priorities[i]);
			if (!level.ring.isEmpty()) {
				return level.next();
			}
		}
		throw new IllegalStateException("no request is waiting");
	}

	private void start(Waiting waiting, long nowMs, List<Runnable> decisions) {
		this.running++;
		AtomicBoolean released = new AtomicBoolean();
		AdmissionListener.Permit permit = (releasedMs) -> {
			if (released.compareAndSet(false, true)) {
				release(waiting.request, nowMs, releasedMs);
			}
		};
		decisions.add(() -> waiting.listener.admitted(permit));
	}

	private void refuseUnreachable(Waiting waiting, long waitMs, List<Runnable> decisions) {
		decisions.add(() -> waiting.listener.refused(new AdmissionRefusedException(FailureType.NOT_RUN,
				"DEADLINE_UNREACHABLE", "the request cannot be answered before its deadline", Math.max(1, waitMs))));
	}

	// Until a new request starts, its account is served what the account has queued, and
	// the other accounts are served at most their weighted part.
	private long expectedWaitMs(AdmissionRequest request) {
		double aheadMs = cost(request);
		for (Map.Entry<Priority, Level> entry : this.levels.entrySet()) {
			if (entry.getKey().compareTo(request.priority()) > 0) {
				aheadMs += entry.getValue().costMs;
			}
		}
		Level level = this.levels.get(request.priority());
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
	 * The queues of one priority.
	 */
	private static final class Level {

		private final Map<String, AccountQueue> queues = new HashMap<>();

		private final Deque<AccountQueue> ring = new ArrayDeque<>();

		private long costMs;

		private long weight;

		private int size(String account) {
			AccountQueue queue = this.queues.get(account);
			return (queue != null) ? queue.requests.size() : 0;
		}

		private void add(Waiting waiting) {
			AccountQueue queue = this.queues.get(waiting.request.account());
			if (queue == null) {
				queue = new AccountQueue(waiting.request.account(), waiting.request.weight());
				this.queues.put(queue.account, queue);
				this.ring.addLast(queue);
				this.weight += queue.weight;
			}
			queue.requests.addLast(waiting);
			queue.costMs += cost(waiting.request);
			this.costMs += cost(waiting.request);
		}

		private Waiting next() {
			while (true) {
				AccountQueue queue = this.ring.getFirst();
				if (!queue.hasTurn) {
					queue.hasTurn = true;
					queue.deficitMs += QUANTUM_MS * queue.weight;
				}
				long headMs = cost(queue.requests.getFirst().request);
				if (headMs <= queue.deficitMs) {
					queue.deficitMs -= headMs;
					Waiting waiting = queue.requests.removeFirst();
					removed(queue, waiting);
					return waiting;
				}
				queue.hasTurn = false;
				this.ring.addLast(this.ring.removeFirst());
			}
		}

		private List<Waiting> removeUnreachable(long nowMs, double ratio) {
			List<Waiting> removed = new ArrayList<>();
			for (AccountQueue queue : List.copyOf(this.ring)) {
				for (Iterator<Waiting> i = queue.requests.iterator(); i.hasNext();) {
					Waiting waiting = i.next();
					if (waiting.isUnreachable(nowMs, 0, ratio)) {
						i.remove();
						removed(queue, waiting);
						removed.add(waiting);
					}
				}
			}
			return removed;
		}

		private void removed(AccountQueue queue, Waiting waiting) {
			queue.costMs -= cost(waiting.request);
			this.costMs -= cost(waiting.request);
			if (queue.requests.isEmpty()) {
				this.queues.remove(queue.account);
				this.ring.remove(queue);
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

		private final Deque<Waiting> requests = new ArrayDeque<>();

		private long costMs;

		private long deficitMs;

		private boolean hasTurn;

		private AccountQueue(String account, int weight) {
			this.account = account;
			this.weight = weight;
		}

	}

	private record Waiting(AdmissionRequest request, AdmissionListener listener) {

		private boolean isUnreachable(long nowMs, long waitMs, double ratio) {
			return this.request.deadline().isPassed(nowMs)
					|| this.request.deadline().remainingMs(nowMs) < waitMs + ratio * this.request.expectedMs();
		}

	}

}
