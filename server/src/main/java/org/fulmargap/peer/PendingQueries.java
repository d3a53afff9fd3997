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
 * Queries that have not received their reply. A query whose link closes is sent again on
 * another link to the same peer until its deadline. Used by the I/O thread only.
 */
final class PendingQueries {

	private final Map<Long, Pending> pending = new HashMap<>();

	/**
	 * Adds a query, which the next call of {@link #sendPending} sends.
	 * @param query the query
	 */
	void add(Pending query) {
		this.pending.put(query.message.queryId(), query);
	}

	/**
	 * Completes the query of a reply.
	 * @param link the link that received the reply
	 * @param reply the reply
	 * @throws FrameException if the reply has another class than the query expects
	 */
	void receiveReply(PeerLink link, PeerMessage.Reply reply) throws FrameException {
		Pending query = this.pending.get(reply.queryId());
		// A late reply, or one that arrives on another link than the query used, is
		// dropped.
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
	 * Sends the queries that are not assigned to a link, and completes those without a
	 * reply whose deadline has passed or whose peer is unreachable.
	 * @param links the established links
	 * @param sender sends a message on a link
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void sendPending(List<PeerLink> links, Sender sender, long nowMs) {
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
			if (nowMs >= query.deadlineMs || query.link == null && query.unreachable.getAsBoolean()) {
				this.pending.remove(query.message.queryId());
				query.future.complete(Optional.empty());
			}
		}
	}

	void completeAll() {
		List<Pending> remaining = new ArrayList<>(this.pending.values());
		this.pending.clear();
		remaining.forEach((query) -> query.future.complete(Optional.empty()));
	}

	/**
	 * Sends a message on a link.
	 */
	@FunctionalInterface
	interface Sender {

		/**
		 * Sends a message. If the link fails, it is closed.
		 * @param link the link
		 * @param message the message
		 */
		void send(PeerLink link, PeerMessage message);

	}

	/**
	 * Query that has not received its reply.
	 */
	static final class Pending {

		private final PeerMessage.Query message;

		private final Class<? extends PeerMessage.Reply> replyClass;

		private final Predicate<PeerLink> target;

		private final BooleanSupplier unreachable;

		private final long deadlineMs;

		private final CompletableFuture<Optional<PeerMessage.Reply>> future = new CompletableFuture<>();

		private PeerLink link;

		/**
		 * Creates a query.
		 * @param message the message
		 * @param replyClass the class of the reply
		 * @param target selects the links to the peer
		 * @param unreachable returns whether the peer is unreachable; called only while
		 * there is no link to it
		 * @param deadlineMs the time at which the query ends without a reply,
		 * milliseconds since the epoch
		 */
		Pending(PeerMessage.Query message, Class<? extends PeerMessage.Reply> replyClass, Predicate<PeerLink> target,
				BooleanSupplier unreachable, long deadlineMs) {
			this.message = message;
			this.replyClass = replyClass;
			this.target = target;
			this.unreachable = unreachable;
			this.deadlineMs = deadlineMs;
		}

		CompletableFuture<Optional<PeerMessage.Reply>> future() {
			return this.future;
		}

	}

}
