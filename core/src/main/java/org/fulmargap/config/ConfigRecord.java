package org.fulmargap.config;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Record of the configuration stream.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ConfigRecord.Propose.class, name = "propose"),
		@JsonSubTypes.Type(value = ConfigRecord.Ack.class, name = "ack"),
		@JsonSubTypes.Type(value = ConfigRecord.Commit.class, name = "commit"),
		@JsonSubTypes.Type(value = ConfigRecord.Abort.class, name = "abort"),
		@JsonSubTypes.Type(value = ConfigRecord.Snapshot.class, name = "snapshot"),
		@JsonSubTypes.Type(value = ConfigRecord.Join.class, name = "join"),
		@JsonSubTypes.Type(value = ConfigRecord.Leave.class, name = "leave"),
		@JsonSubTypes.Type(value = ConfigRecord.Evict.class, name = "evict"),
		@JsonSubTypes.Type(value = ConfigRecord.Order.class, name = "order") })
public sealed interface ConfigRecord {

	/**
	 * Reads a record from JSON.
	 * @param value the value stored in the stream
	 * @return the record
	 * @throws JsonProcessingException if the value is not a valid record
	 */
	static ConfigRecord fromJson(JsonNode value) throws JsonProcessingException {
		ConfigRecord record = Json.mapper().treeToValue(value, ConfigRecord.class);
		if (record == null) {
			throw new RecordFormatException("the record is null");
		}
		return record;
	}

	/**
	 * Returns the record as JSON.
	 * @return the value to store in the stream
	 */
	default JsonNode toJson() {
		return Json.mapper().valueToTree(this);
	}

	/**
	 * Proposes a patch.
	 *
	 * @param patchId the id of the patch, globally unique and never reused
	 * @param expectedVersion the version that the patch applies to
	 * @param mergePatch a JSON Merge Patch (RFC 7396)
	 * @param proposedAtMs when the proposal was created, milliseconds since the epoch
	 */
	record Propose(@JsonProperty(value = "patch_id", required = true) String patchId,
			@JsonProperty(value = "expected_version", required = true) long expectedVersion,
			@JsonProperty(value = "merge_patch", required = true) JsonNode mergePatch,
			@JsonProperty(value = "proposed_at_ms", required = true) long proposedAtMs) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Propose {
			Objects.requireNonNull(patchId, "patch_id");
			Objects.requireNonNull(mergePatch, "merge_patch");
		}

	}

	/**
	 * Acknowledges a proposal.
	 *
	 * @param patchId the id of the patch
	 * @param vm the name of the entry VM that acknowledges
	 * @param incarnation the incarnation that acknowledges
	 */
	record Ack(@JsonProperty(value = "patch_id", required = true) String patchId,
			@JsonProperty(value = "vm", required = true) String vm,
			@JsonProperty(value = "incarnation", required = true) String incarnation) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Ack {
			Objects.requireNonNull(patchId, "patch_id");
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(incarnation, "incarnation");
		}

	}

	/**
	 * Puts a proposal in force if every required acknowledgement precedes this record.
	 *
	 * @param patchId the id of the patch
	 */
	record Commit(@JsonProperty(value = "patch_id", required = true) String patchId) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Commit {
			Objects.requireNonNull(patchId, "patch_id");
		}

	}

	/**
	 * Aborts a proposal.
	 *
	 * @param patchId the id of the patch
	 * @param reason a human-readable reason
	 */
	record Abort(@JsonProperty(value = "patch_id", required = true) String patchId,
			@JsonProperty(value = "reason", required = true) String reason) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Abort {
			Objects.requireNonNull(patchId, "patch_id");
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * Contains the whole state, so that retention may remove older records. Records from
	 * {@code through} up to the offset of the snapshot are not included.
	 *
	 * @param through the offset of the first record that is not included
	 * @param state the state
	 */
	record Snapshot(@JsonProperty(value = "through", required = true) long through,
			@JsonProperty(value = "state", required = true) ConfigState state) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Snapshot {
			Objects.requireNonNull(state, "state");
			if (through < 0) {
				throw new IllegalArgumentException("through must not be negative: " + through);
			}
		}

	}

	/**
	 * Makes an entry VM a member, whose acknowledgement later patches require.
	 *
	 * @param member the entry VM
	 */
	record Join(@JsonProperty(value = "member", required = true) Member member) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Join {
			Objects.requireNonNull(member, "member");
		}

	}

	/**
	 * Ends the membership of an incarnation that shuts down.
	 *
	 * @param vm the name of the entry VM
	 * @param incarnation the incarnation that leaves
	 */
	record Leave(@JsonProperty(value = "vm", required = true) String vm,
			@JsonProperty(value = "incarnation", required = true) String incarnation) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Leave {
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(incarnation, "incarnation");
		}

	}

	/**
	 * Ends the membership of an incarnation that has failed or was evicted manually.
	 *
	 * @param vm the name of the entry VM
	 * @param incarnation the incarnation to remove
	 * @param reason a human-readable reason
	 */
	record Evict(@JsonProperty(value = "vm", required = true) String vm,
			@JsonProperty(value = "incarnation", required = true) String incarnation,
			@JsonProperty(value = "reason", required = true) String reason) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Evict {
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(incarnation, "incarnation");
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * Takes a target out of service or returns it to service.
	 *
	 * @param order the order
	 */
	record Order(@JsonProperty(value = "order", required = true) OrderRegister order) implements ConfigRecord {

		/**
		 * Checks the components.
		 */
		public Order {
			Objects.requireNonNull(order, "order");
		}

	}

}
