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
	 * Message that expects a reply with the same query number.
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
	 * Requests the outcome of a claim from its owner.
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
		 * Returns the client account and idempotency key.
		 * @return the key of the claim
		 */
		public ClaimKey claimKey() {
			return new ClaimKey(this.account, this.key);
		}

	}

	/**
	 * Replies to an {@link OutcomeQuery}.
	 *
	 * @param queryId the number of the query
	 * @param outcome the outcome, or {@code null} if the request has not finished
	 */
	record OutcomeReply(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty("outcome") RecordedOutcome outcome) implements Reply {

		/**
		 * Returns the outcome.
		 * @return the outcome, or empty if the request has not finished
		 */
		public Optional<RecordedOutcome> result() {
			return Optional.ofNullable(this.outcome);
		}

	}

	/**
	 * Requests the state of a key from a member.
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
		 * Returns the client account and idempotency key.
		 * @return the key of the claim
		 */
		public ClaimKey claimKey() {
			return new ClaimKey(this.account, this.key);
		}

	}

	/**
	 * Replies to a {@link KeyQuery}.
	 *
	 * @param queryId the number of the query
	 * @param state {@code NONE}, {@code ABANDONED} or {@code DISPATCHED}
	 */
	record KeyReply(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "state", required = true) String state) implements Reply {
	}

	/**
	 * Sends an order to a peer without waiting for the next heartbeat.
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
	 * @param applied whether the peer has the order or one that supersedes it
	 */
	record OrderAck(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "applied", required = true) boolean applied) implements Reply {
	}

	/**
	 * Requests the configuration of a peer.
	 *
	 * @param queryId the number that the reply repeats
	 */
	record ConfigFetch(@JsonProperty(value = "query_id", required = true) long queryId) implements Query {
	}

	/**
	 * Replies to a {@link ConfigFetch}.
	 *
	 * @param queryId the number of the query
	 * @param version the version in force at the peer
	 * @param state the peer's configuration state, or {@code null} if it has none
	 */
	record ConfigReply(@JsonProperty(value = "query_id", required = true) long queryId,
			@JsonProperty(value = "version", required = true) long version,
			@JsonProperty("state") JsonNode state) implements Reply {
	}

}
