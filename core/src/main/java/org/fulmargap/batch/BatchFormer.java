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
 * days no piece waits for company. The most urgent pieces go first. Confined to one
 * thread.
 */
public final class BatchFormer {

	/** The time for which a piece must still be of use when its call begins, in ms. */
	private static final double LEAST_USEFUL_SHARE = 1.0;

	private final TreeSet<Piece> waiting = new TreeSet<>(
			Comparator.comparingLong(Piece::dueAtMs).thenComparing(Piece::attemptId).thenComparingLong(Piece::ticket));

	private final Map<String, StageRoom> rooms = new HashMap<>();

	private StageCapacity capacity;

	/**
	 * Creates a former.
	 * @param capacity what one endpoint can take
	 */
	public BatchFormer(StageCapacity capacity) {
		this.capacity = capacity;
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
		return this.waiting.remove(piece);
	}

	/**
	 * Returns the number of pieces that wait.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Removes the pieces that can't be done in time any more.
	 * @param nowMs the present time in milliseconds
	 * @return the pieces
	 */
	public List<Piece> expire(long nowMs) {
		List<Piece> expired = new ArrayList<>();
		double leastMs = (this.capacity.callMs() + this.capacity.pieceMs()) * LEAST_USEFUL_SHARE;
		for (Iterator<Piece> i = this.waiting.iterator(); i.hasNext();) {
			Piece piece = i.next();
			if (nowMs + leastMs > piece.expiresAtMs()) {
				expired.add(piece);
				i.remove();
			}
		}
		return expired;
	}

	/**
	 * Forms the next call.
	 * @param endpoints the endpoints that may get work
	 * @param nowMs the present time in milliseconds
	 * @return the call, or empty if no piece waits or no endpoint is free
	 */
	public Optional<StageCall> next(List<Endpoint> endpoints, long nowMs) {
		if (this.waiting.isEmpty()) {
			return Optional.empty();
		}
		Endpoint best = null;
		long bestFreeBytes = 0;
		for (Endpoint endpoint : endpoints) {
			StageRoom room = room(endpoint);
			long freeBytes = this.capacity.roomBytes() - room.usedBytes(nowMs);
			boolean usable = !endpoint.isSuspended(nowMs) && room.callsInFlight() < this.capacity.slots()
					&& freeBytes >= this.waiting.first().resultBytes();
			if (usable && (best == null || isBetter(endpoint, freeBytes, best, bestFreeBytes))) {
				best = endpoint;
				bestFreeBytes = freeBytes;
			}
		}
		return (best != null) ? Optional.of(take(best, bestFreeBytes, nowMs)) : Optional.empty();
	}

	private static boolean isBetter(Endpoint endpoint, long freeBytes, Endpoint best, long bestFreeBytes) {
		int bySpeed = Double.compare(Math.round(endpoint.slowness() * 2), Math.round(best.slowness() * 2));
		return bySpeed < 0 || (bySpeed == 0 && freeBytes > bestFreeBytes);
	}

	private StageCall take(Endpoint endpoint, long freeBytes, long nowMs) {
		List<Piece> pieces = new ArrayList<>();
		long bytes = 0;
		for (Iterator<Piece> i = this.waiting.iterator(); i.hasNext() && pieces.size() < this.capacity.batch();) {
			Piece piece = i.next();
			if (bytes + piece.resultBytes() <= freeBytes) {
				pieces.add(piece);
				bytes += piece.resultBytes();
				i.remove();
			}
		}
		room(endpoint).callStarted(bytes);
		return new StageCall(endpoint, List.copyOf(pieces), expectedMs(pieces.size()));
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
	 * Records that a result is no longer needed.
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
