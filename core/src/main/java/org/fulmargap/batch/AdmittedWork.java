package org.fulmargap.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * The work items that admitted requests still need of each stage service, those of stages
 * that have not begun included: of this VM and, from their heartbeats, of its peers.
 * Confined to one thread.
 */
public final class AdmittedWork {

	/** Requests of lower rank count like those of the lowest rank that is told apart. */
	public static final int RANKS = 4;

	/** A peer's report counts for this time, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	private final Map<String, int[]> own = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Records work items that were admitted.
	 * @param service the service
	 * @param rank the rank of their request
	 * @param items the number of work items
	 */
	public void add(String service, int rank, int items) {
		int[] byRank = this.own.computeIfAbsent(service, (name) -> new int[RANKS]);
		byRank[index(rank)] += items;
	}

	/**
	 * Records work items that are done or no longer needed.
	 * @param service the service
	 * @param rank the rank of their request
	 * @param items the number of work items
	 */
	public void remove(String service, int rank, int items) {
		add(service, rank, -items);
	}

	/**
	 * Returns this VM's work items, for heartbeats.
	 * @return the work items by rank, by service
	 */
	public Map<String, int[]> own() {
		Map<String, int[]> copy = new HashMap<>();
		this.own.forEach((service, byRank) -> copy.put(service, byRank.clone()));
		return copy;
	}

	/**
	 * Takes over a peer's report.
	 * @param peer the name of the peer
	 * @param items its work items by rank, by service
	 * @param nowMs the present time in milliseconds
	 */
	public void recordReport(String peer, Map<String, int[]> items, long nowMs) {
		this.reports.put(peer, new Report(Map.copyOf(items), nowMs));
	}

	/**
	 * Returns the work items that go before those of a new request.
	 * @param service the service
	 * @param rank the rank of the new request
	 * @param nowMs the present time in milliseconds
	 * @return the number of work items of all VMs that are as urgent or more urgent
	 */
	public int itemsAhead(String service, int rank, long nowMs) {
		int sum = sum(this.own.get(service), rank);
		for (Report report : this.reports.values()) {
			if (nowMs - report.reportedAtMs() < REPORT_LIFETIME_MS) {
				sum += sum(report.items().get(service), rank);
			}
		}
		return sum;
	}

	private static int sum(int[] byRank, int rank) {
		int sum = 0;
		for (int i = 0; byRank != null && i <= index(rank); i++) {
			sum += byRank[i];
		}
		return sum;
	}

	private static int index(int rank) {
		return Math.max(0, Math.min(RANKS - 1, rank));
	}

	private record Report(Map<String, int[]> items, long reportedAtMs) {
	}

}
