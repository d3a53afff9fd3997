package org.fulmargap.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import org.fulmargap.membership.PeerMessage;

/**
 * Queries that wait for their reply. A query whose link closes is sent again on another
 * link to the same peer until its time is over. Used by the I/O thread only.
 */
final class PendingQueries {

	private final Map<Long, Pending> pending = new HashMap<>();

	/**
	 * Adds a query. It is sent by the next {@link #sendWaiting}.
	 * @param query the query
	 */
	void add(Pending query) {
		this.pending.put(query.message.queryId(), query);
	}

	/**
	 * Matches a reply with its query.
	 * @param link the link that carried the reply
	 * @param reply the reply
	 * @throws FrameException if the reply has another class than the query expects
	 */
	void reply(PeerLink link, PeerMessage.Reply reply) throws FrameException {
		Pending query = this.pending.get(reply.queryId());
		// A late reply, or one on another link than the query, is dropped.
		if (query != null && query.link == link) {
			if (!query.replyClass.isInstance(reply)) {
				throw new FrameException(PeerEventType.UNEXPECTED_MESSAGE, "reply of another type than the query");
			}
			this.pending.remove(reply.queryId());
			query.future.complete(Optional.of(reply));
		}
	}

	void linkClosed(PeerLink link) {
		this.pending.values().stream().filter((query) -> query.link == link).forEach((query) -> query.link = null);
	}

	boolean isEmpty() {
		return this.pending.isEmpty();
	}

	boolean isUsed(PeerLink link) {
		return this.pending.values().stream().anyMatch((query) -> query.link == link);
	}

	/**
	 * Sends queries that have no link yet and ends those whose time is over or whose peer
	 * cannot be reached.
	 * @param links the established links
	 * @param sender sends a message on a link
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void sendWaiting(List<PeerLink> links, Sender sender, long nowMs) {
		for (Pending query : List.copyOf(this.pending.values())) {
			if (query.link == null) {
				query.link = links.stream()
					.filter((link) -> link.isEstablished() && query.target.test(link))
					.findFirst()
					.orElse(null);
				if (query.link != null) {
					sender.send(query.link, query.message);
				}
			}
			if (nowMs >= query.deadlineMs || query.link == null && query.hopeless.getAsBoolean()) {
				this.pending.remove(query.message.queryId());
				query.future.complete(Optional.empty());
			}
		}
	}

	void endAll() {
		List<Pending> open = new ArrayList<>(this.pending.values());
		this.pending.clear();
		open.forEach((query) -> query.future.complete(Optional.empty()));
	}

	/**
	 * Sends a message on a link.
	 */
	@FunctionalInterface
	interface Sender {

		/**
		 * Sends a message. A failure closes the link.
		 * @param link the link
		 * @param message the message
		 */
		void send(PeerLink link, PeerMessage message);

	}

	/**
	 * One query.
	 */
	static final class Pending {

		private final PeerMessage.Query message;

		private final Class<? extends PeerMessage.Reply> replyClass;

		private final Predicate<PeerLink> target;

		private final BooleanSupplier hopeless;

		private final long deadlineMs;

		private final CompletableFuture<Optional<PeerMessage.Reply>> future = new CompletableFuture<>();

		private PeerLink link;

		/**
		 * Creates a query.
		 * @param message the message
		 * @param replyClass the class of the reply
		 * @param target selects links that lead to the peer
		 * @param hopeless tells whether to give up when there is no link
		 * @param deadlineMs when to give up, milliseconds since the epoch
		 */
		Pending(PeerMessage.Query message, Class<? extends PeerMessage.Reply> replyClass, Predicate<PeerLink> target,
				BooleanSupplier hopeless, long deadlineMs) {
			this.message = message;
			this.replyClass = replyClass;
			this.target = target;
			this.hopeless = hopeless;
			this.deadlineMs = deadlineMs;
		}

		CompletableFuture<Optional<PeerMessage.Reply>> future() {
			return this.future;
		}

	}

}
