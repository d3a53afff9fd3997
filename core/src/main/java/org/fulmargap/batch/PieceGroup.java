package org.fulmargap.batch;

import java.util.ArrayList;
import java.util.List;

import org.fulmargap.placement.Endpoint;

/**
 * The pieces of one stage of one request that wait. They share a call if they can: a
 * request can't go on before the last of them is done, and the results of the others take
 * up room meanwhile.
 *
 * @param pieces the pieces, at least one
 */
record PieceGroup(List<Piece> pieces) {

	/**
	 * Gathers neighbouring pieces of the same stage and request.
	 * @param ordered the pieces in the order of urgency
	 * @return the groups in that order
	 */
	static List<PieceGroup> of(List<Piece> ordered) {
		List<PieceGroup> groups = new ArrayList<>();
		for (Piece piece : ordered) {
			PieceGroup last = (groups.isEmpty()) ? null : groups.get(groups.size() - 1);
			if (last != null && last.includes(piece)) {
				last.pieces.add(piece);
			}
			else {
				groups.add(new PieceGroup(new ArrayList<>(List.of(piece))));
			}
		}
		return groups;
	}

	private boolean includes(Piece piece) {
		return first().stage() == piece.stage() && first().attemptId().equals(piece.attemptId());
	}

	Piece first() {
		return this.pieces.get(0);
	}

	long resultBytes() {
		return this.pieces.stream().mapToLong(Piece::resultBytes).sum();
	}

	boolean isNear(Endpoint endpoint) {
		return first().isNear(endpoint.record().failureDomain());
	}

	/**
	 * Returns the part of the group that one call can take at all.
	 * @param mostPieces the pieces that a call takes
	 * @param mostBytes the room for results of an empty endpoint in bytes
	 * @return the first pieces of the group, at least one
	 */
	PieceGroup atMost(int mostPieces, long mostBytes) {
		List<Piece> part = new ArrayList<>();
		long bytes = 0;
		for (Piece piece : this.pieces) {
			bytes += piece.resultBytes();
			if (!part.isEmpty() && (part.size() == mostPieces || bytes > mostBytes)) {
				break;
			}
			part.add(piece);
		}
		return new PieceGroup(part);
	}

}
