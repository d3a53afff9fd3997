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
 * Forms the calls to the endpoints of one stage service out of the pieces of all entry
 * VMs. An endpoint gets its next call when the one before is done, so that pieces which
 * arrive meanwhile share that call: on busy days calls fill up by themselves, on calm
 * days no piece waits for company.
 * <p>
 * The most urgent pieces go first: those of more urgent requests, then those that are due
 * earlier. In an overload that order alone would make every request late, so pieces that
 * are late already wait behind those that can still be in time. Confined to one thread.
 */
public final class BatchFormer {

	/** How much earlier a piece is due for each rank of its request, in milliseconds. */
	private static final long RANK_MS = 600;

	/**
	 * How much larger results may be than the configuration says, which is approximate.
	 */
	private static final double SIZE_MARGIN = 1.05;

	/** A call is chosen among the most urgent pieces: this many times its size. */
	private static final double CANDIDATE_BATCHES = 1.5;

	private static final Comparator<Piece> MOST_URGENT = Comparator.comparingLong(BatchFormer::urgencyMs)
		.thenComparing(Piece::attemptId)
		.thenComparingInt(Piece::stage)
		.thenComparingLong(Piece::ticket);

	private final TreeSet<Piece> waiting = new TreeSet<>(MOST_URGENT);

	private final TreeSet<Piece> late = new TreeSet<>(MOST_URGENT);

	private final Map<String, StageRoom> rooms = new HashMap<>();

	private StageCapacity capacity;

	/**
	 * Creates a former.
	 * @param capacity what one endpoint can take
	 */
	public BatchFormer(StageCapacity capacity) {
		this.capacity = capacity;
	}

	private static long urgencyMs(Piece piece) {
		return piece.dueAtMs() + piece.priority() * RANK_MS;
	}

	/**
	 * Replaces the capacity after a change of the configuration.
	 * @param capacity what one endpoint can take
	 */
	public void capacity(StageCapacity capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds a piece.
	 * @param piece the piece
	 */
	public void add(Piece piece) {
		this.waiting.add(piece);
	}

	/**
	 * Removes a piece that waits.
	 * @param piece the piece
	 * @return whether it was waiting
	 */
	public boolean remove(Piece piece) {
		return this.waiting.remove(piece) || this.late.remove(piece);
	}

	/**
	 * Returns the number of pieces that wait.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size() + this.late.size();
	}

	/**
	 * Removes the pieces that can't be done any more while somebody can use them,
	 * counting the pieces before them, and puts the late ones behind the others.
	 * @param endpoints the number of endpoints that work
	 * @param nowMs the present time in milliseconds
	 * @return the removed pieces
	 */
	public List<Piece> expire(int endpoints, long nowMs) {
		// While many pieces wait, calls are full and take longer.
		double callMs = expectedMs(Math.min(this.capacity.batch(), Math.max(1, waitingCount())));
		for (Iterator<Piece> i = this.waiting.iterator(); i.hasNext();) {
			Piece piece = i.next();
			if (nowMs + callMs > piece.dueAtMs()) {
				this.late.add(piece);
				i.remove();
			}
		}
		List<Piece> expired = new ArrayList<>();
		expire(this.waiting, endpoints, nowMs + callMs, 0, expired);
		expire(this.late, endpoints, nowMs + callMs, this.waiting.size(), expired);
		return expired;
	}

	private void expire(TreeSet<Piece> pieces, int endpoints, double doneAtMs, int before, List<Piece> expired) {
		double pieceMs = expectedMs(this.capacity.batch()) / this.capacity.batch() / Math.max(1, endpoints);
		int place = before;
		for (Iterator<Piece> i = pieces.iterator(); i.hasNext();) {
			Piece piece = i.next();
			if (doneAtMs + place * pieceMs > piece.expiresAtMs()) {
				expired.add(piece);
				i.remove();
			}
			else {
				place++;
			}
		}
	}

	/**
	 * Forms the next call.
	 * @param endpoints the endpoints that may get work
	 * @param nowMs the present time in milliseconds
	 * @return the call, or empty if no piece waits or no endpoint is free
	 */
	public Optional<StageCall> next(List<Endpoint> endpoints, long nowMs) {
		if (waitingCount() == 0) {
			return Optional.empty();
		}
		Piece first = (this.waiting.isEmpty()) ? this.late.first() : this.waiting.first();
		Endpoint best = null;
		long bestFreeBytes = 0;
		for (Endpoint endpoint : endpoints) {
			StageRoom room = room(endpoint);
			long freeBytes = (long) (this.capacity.roomBytes() / SIZE_MARGIN) - room.usedBytes(nowMs);
			boolean usable = !endpoint.isSuspended(nowMs) && room.callsInFlight() < this.capacity.slots()
					&& freeBytes >= first.resultBytes();
			if (usable && (best == null || isBetter(first, endpoint, freeBytes, best, bestFreeBytes))) {
				best = endpoint;
				bestFreeBytes = freeBytes;
			}
		}
		return (best != null) ? Optional.of(take(best, bestFreeBytes)) : Optional.empty();
	}

	private static boolean isBetter(Piece first, Endpoint endpoint, long freeBytes, Endpoint best, long bestFreeBytes) {
		int bySpeed = Double.compare(Math.round(endpoint.slowness()), Math.round(best.slowness()));
		if (bySpeed != 0) {
			return bySpeed < 0;
		}
		int byDomain = Boolean.compare(isNear(first, endpoint), isNear(first, best));
		return byDomain > 0 || (byDomain == 0 && freeBytes > bestFreeBytes);
	}

	private static boolean isNear(Piece piece, Endpoint endpoint) {
		return piece.inputDomain().isEmpty() || piece.inputDomain().equals(endpoint.record().failureDomain());
	}

	private StageCall take(Endpoint endpoint, long freeBytes) {
		List<Piece> candidates = candidates();
		List<Piece> pieces = new ArrayList<>();
		// Pieces whose inputs lie beside the endpoint go first among the most urgent
		// ones.
		long leftBytes = take(candidates, endpoint, true, freeBytes, pieces);
		leftBytes = take(candidates, endpoint, false, leftBytes, pieces);
		pieces.forEach(this::remove);
		room(endpoint).callStarted(freeBytes - leftBytes);
		return new StageCall(endpoint, List.copyOf(pieces), expectedMs(pieces.size()));
	}

	private List<Piece> candidates() {
		int most = (int) (this.capacity.batch() * CANDIDATE_BATCHES);
		List<Piece> candidates = new ArrayList<>(most);
		for (Iterator<Piece> i = this.waiting.iterator(); i.hasNext() && candidates.size() < most;) {
			candidates.add(i.next());
		}
		for (Iterator<Piece> i = this.late.iterator(); i.hasNext() && candidates.size() < most;) {
			candidates.add(i.next());
		}
		return candidates;
	}

	private long take(List<Piece> candidates, Endpoint endpoint, boolean near, long freeBytes, List<Piece> pieces) {
		long leftBytes = freeBytes;
		for (Piece piece : candidates) {
			boolean fits = pieces.size() < this.capacity.batch() && piece.resultBytes() <= leftBytes;
			if (fits && isNear(piece, endpoint) == near) {
				pieces.add(piece);
				leftBytes -= piece.resultBytes();
			}
		}
		return leftBytes;
	}

	/**
	 * Returns the time that a call takes at an endpoint of usual speed.
	 * @param pieces the number of pieces
	 * @return the time in milliseconds
	 */
	public double expectedMs(int pieces) {
		return this.capacity.callMs() + pieces * this.capacity.pieceMs();
	}

	/**
	 * Records the end of a call, whatever came of it.
	 * @param call the call
	 */
	public void ended(StageCall call) {
		room(call.endpoint()).callEnded(call.pieces().stream().mapToLong(Piece::resultBytes).sum());
	}

	/**
	 * Records a result.
	 * @param endpoint the endpoint that keeps it
	 * @param handle the name of the result
	 * @param resultBytes its size in bytes
	 * @param nowMs the present time in milliseconds
	 */
	public void hold(Endpoint endpoint, String handle, long resultBytes, long nowMs) {
		room(endpoint).hold(handle, resultBytes, nowMs + this.capacity.resultLifetimeMs());
	}

	/**
	 * Records that a result no longer takes up room.
	 * @param handle the name of the result
	 */
	public void release(String handle) {
		for (StageRoom room : this.rooms.values()) {
			if (room.release(handle)) {
				return;
			}
		}
	}

	private StageRoom room(Endpoint endpoint) {
		return this.rooms.computeIfAbsent(endpoint.record().id(), (id) -> new StageRoom());
	}

}
