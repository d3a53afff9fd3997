package org.fulmargap.entry.peer;

import java.util.List;
import java.util.Map;

import org.fulmargap.batch.Piece;
import org.fulmargap.entry.stage.PieceOutcome;
import org.fulmargap.placement.Prompt;

/**
 * What entry VMs tell each other.
 */
public sealed interface PeerMessage {

	/**
	 * The first message on a connection.
	 *
	 * @param vm the name of the sender
	 * @param startedAtMs when it started, in milliseconds since the epoch
	 */
	record Hello(String vm, long startedAtMs) implements PeerMessage {
	}

	/**
	 * The sender is alive and has requests in flight.
	 *
	 * @param draining whether the sender is about to leave
	 * @param hearsReceiver whether the sender hears the receiver; a connection can go
	 * silent without being closed, which only the other end notices
	 * @param loads what it has in flight, only for endpoints with load
	 * @param committedPieces the pieces that its requests still need, by rank, by service
	 */
	record Heartbeat(boolean draining, boolean hearsReceiver, List<Load> loads,
			Map<String, int[]> committedPieces) implements PeerMessage {
	}

	/**
	 * Requests in flight at one endpoint.
	 *
	 * @param endpoint the name of the endpoint
	 * @param inFlight the number of requests
	 * @param prefillTokens the prompt tokens that it has not read yet
	 */
	record Load(String endpoint, int inFlight, long prefillTokens) {
	}

	/**
	 * A prompt was sent to an engine, which will keep its parts.
	 *
	 * @param endpoint the name of the engine
	 * @param prompt the prompt
	 */
	record PromptSent(String endpoint, Prompt prompt) implements PeerMessage {
	}

	/**
	 * Pieces for the VM that is in charge of a service.
	 *
	 * @param service the service
	 * @param pieces the pieces, with times in the receiver's clock
	 */
	record Pieces(String service, List<Piece> pieces) implements PeerMessage {
	}

	/**
	 * What came of pieces.
	 *
	 * @param outcomes the outcomes
	 */
	record Outcomes(List<PieceOutcome> outcomes) implements PeerMessage {
	}

	/**
	 * A piece is no longer needed.
	 *
	 * @param ticket the number of the piece
	 */
	record Withdrawal(long ticket) implements PeerMessage {
	}

	/**
	 * Results are no longer needed.
	 *
	 * @param service the service that made them
	 * @param handles the names of the results
	 */
	record Release(String service, List<String> handles) implements PeerMessage {
	}

	/**
	 * A request crashed an endpoint.
	 *
	 * @param fingerprint the fingerprint of the request
	 * @param endpoint the name of the endpoint
	 */
	record Strike(String fingerprint, String endpoint) implements PeerMessage {
	}

}
