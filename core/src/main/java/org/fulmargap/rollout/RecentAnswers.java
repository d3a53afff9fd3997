package org.fulmargap.rollout;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Map;

/**
 * The answers of the last seconds. Among all answers since the order, those of a version
 * that turns bad later would be outnumbered by earlier good ones. Confined to one thread.
 */
public final class RecentAnswers {

	/**
	 * The time that the answers cover, in milliseconds: enough answers for a comparison,
	 * less than operators usually allow for a rollback.
	 */
	private static final long COVERED_MS = 3_000;

	private final Deque<Snapshot> snapshots = new ArrayDeque<>();

	/**
	 * Adds the sums of a moment. Called with each heartbeat.
	 * @param routes the answers since the order, by route or stage
	 * @param nowMs the current time in milliseconds
	 * @return the answers of the last seconds
	 */
	public Collection<RouteCounts> add(Map<String, RouteCounts> routes, long nowMs) {
		this.snapshots.addLast(new Snapshot(routes, nowMs));
		while (nowMs - this.snapshots.getFirst().atMs() > COVERED_MS) {
			this.snapshots.removeFirst();
		}
		Map<String, RouteCounts> earliest = this.snapshots.getFirst().routes();
		return routes.entrySet()
			.stream()
			.map((entry) -> entry.getValue().minus(earliest.getOrDefault(entry.getKey(), RouteCounts.NONE)))
			.toList();
	}

	private record Snapshot(Map<String, RouteCounts> routes, long atMs) {
	}

}
