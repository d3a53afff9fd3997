package org.fulmargap.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the work items that admitted requests still need from each stage service,
 * including those of stages that have not started. Covers the requests of this VM and, as
 * reported in heartbeats, of its peers. Confined to one thread.
 */
public final class AdmittedWork {

	/**
	 * The number of priority ranks that are counted separately. Less urgent ranks are
	 * counted together with the last one.
	 */
	public static final int RANKS = 4;

	/** How long a peer's report is valid, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	private final Map<String, int[]> own = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Adds work items of a request that was admitted.
	 * @param service the name of the service
	 * @param rank the priority rank of the request; 0 is the most urgent
	 * @param items the number of work items
	 */
	public void add(String service, int rank, int items) {
		int[] byRank = this.own.computeIfAbsent(service, (name) -> new int[RANKS]);
		byRank[index(rank)] += items;
	}

	/**
	 * Removes work items that are done or no longer needed.
	 * @param service the name of the service
	 * @param rank the priority rank of the request; 0 is the most urgent
	 * @param items the number of work items
	 */
	public void remove(String service, int rank, int items) {
		add(service, rank, -items);
	}

	/**
	 * Returns the counts of this VM, to be sent in heartbeats.
	 * @return a copy of the number of work items by rank, by service
	 */
	public Map<String, int[]> own() {
		Map<String, int[]> copy = new HashMap<>();
		this.own.forEach((service, byRank) -> copy.put(service, byRank.clone()));
		return copy;
	}

	/**
	 * Replaces the counts of a peer by those of its newest report.
	 * @param peer the name of the peer
	 * @param items its number of work items by rank, by service
	 * @param nowMs the current time in milliseconds
	 */
	public void recordReport(String peer, Map<String, int[]> items, long nowMs) {
		this.reports.put(peer, new Report(Map.copyOf(items), nowMs));
	}

	/**
	 * Returns how many work items are ahead of those of a new request.
	 * @param service the name of the service
	 * @param rank the priority rank of the new request; 0 is the most urgent
	 * @param nowMs the current time in milliseconds
	 * @return the number of work items of all VMs with the same or a more urgent rank
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
