package org.fulmargap.membership;

import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;

/**
 * Message between entry VMs.
 */
public sealed interface PeerMessage permits Hello, Heartbeat, PeerMessage.Query, PeerMessage.Reply {

	/**
	 * Message that expects a reply with the same query id.
	 */
	sealed interface Query extends PeerMessage {

		/**
		 * Returns the number that the reply repeats.
		 * @return a number unique within the sender's incarnation
		 */
		long queryId();

	}

	/**
	 * Reply to a query.
	 */
	sealed interface Reply extends PeerMessage {

		/**
		 * Returns the number of the query.
		 * @return the number that the query carried
		 */
		long queryId();

	}

	/**
	 * Asks the owner of a claim for its outcome.
	 *
	 * @param queryId the number that the reply repeats
	 * @param account the client account
	 * @param key the idempotency key
	 * @param waitMs the longest wait in milliseconds
	 */
	record OutcomeQuery(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "account", required = true) String account,
			@JsonProperty(value = "key", required = true) String key,
			@JsonProperty(value = "wait_ms", required = true) long waitMs) implements Query {

		/**
		 * Checks the components.
		 */
		public OutcomeQuery {
			Objects.requireNonNull(new ClaimKey(account, key));
		}

		/**
		 * Returns the key that the query is about.
		 * @return account and key
		 */
		public ClaimKey claimKey() {
			return new ClaimKey(this.account, this.key);
		}

	}

	/**
	 * Answers an {@link OutcomeQuery}.
	 *
	 * @param queryId the number of the query
	 * @param outcome the outcome, or {@code null} if the request has not ended
	 */
	record OutcomeReply(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty("outcome") RecordedOutcome outcome) implements Reply {

		/**
		 * Returns the outcome.
		 * @return the outcome, or empty if the request has not ended
		 */
		public Optional<RecordedOutcome> result() {
			return Optional.ofNullable(this.outcome);
		}

	}

	/**
	 * Asks a member what it knows about a key.
	 *
	 * @param queryId the number that the reply repeats
	 * @param account the client account
	 * @param key the idempotency key
	 */
	record KeyQuery(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "account", required = true) String account,
			@JsonProperty(value = "key", required = true) String key) implements Query {

		/**
		 * Checks the components.
		 */
		public KeyQuery {
			Objects.requireNonNull(new ClaimKey(account, key));
		}

		/**
		 * Returns the key that the query is about.
		 * @return account and key
		 */
		public ClaimKey claimKey() {
			return new ClaimKey(this.account, this.key);
		}

	}

	/**
	 * Answers a {@link KeyQuery}.
	 *
	 * @param queryId the number of the query
	 * @param state {@code NONE}, {@code ABANDONED} or {@code DISPATCHED}
	 */
	record KeyReply(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "state", required = true) String state) implements Reply {
	}

	/**
	 * Hands an order to a peer at once.
	 *
	 * @param queryId the number that the acknowledgement repeats
	 * @param order the order
	 */
	record OrderPush(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "order", required = true) AdminOrder order) implements Query {

		/**
		 * Checks the components.
		 */
		public OrderPush {
			Objects.requireNonNull(order, "order");
		}

	}

	/**
	 * Acknowledges an {@link OrderPush}.
	 *
	 * @param queryId the number of the push
	 * @param applied whether the peer holds the order or a later one for its target
	 */
	record OrderAck(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "applied", required = true) boolean applied) implements Reply {
	}

	/**
	 * Asks a peer for its configuration.
	 *
	 * @param queryId the number that the reply repeats
	 */
	record ConfigFetch(@JsonProperty(value = "query_id", required = true) long queryId) implements Query {
	}

	/**
	 * Answers a {@link ConfigFetch}.
	 *
	 * @param queryId the number of the query
	 * @param version the version in force at the peer
	 * @param state the peer's configuration state, or {@code null} if it knows none
	 */
	record ConfigReply(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "version", required = true) long version,
			@JsonProperty("state") JsonNode state) implements Reply {
	}

}
