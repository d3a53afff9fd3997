package org.fulmargap.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * State that results from the records of the configuration stream up to some offset.
 *
 * @param version the version in force; zero before the first commit
 * @param document the document in force
 * @param members the members by VM name
 * @param orders the administrative orders by target
 * @param pendingOrNull the pending patch, or {@code null}
 * @param decisions the latest decisions, oldest first
 */
public record ConfigState(@JsonProperty(value = "version", required = true) long version,
		@JsonProperty(value = "document", required = true) JsonNode document,
		@JsonProperty(value = "members", required = true) Map<String, Member> members,
		@JsonProperty(value = "orders", required = true) Map<String, OrderRegister> orders,
		@JsonInclude(JsonInclude.Include.NON_NULL) @JsonProperty("pending") PendingPatch pendingOrNull,
		@JsonProperty(value = "decisions", required = true) List<PatchDecision> decisions) {

	/**
	 * The maximum number of decisions kept. They identify repeated appends of a proposal,
	 * which a proposer stops within seconds. At 1,300 changes a day they cover more than
	 * two hours.
	 */
	public static final int MAX_DECISIONS = 128;

	/** The state before the first record. */
	public static final ConfigState INITIAL = new ConfigState(0, Json.mapper().createObjectNode(), Map.of(), Map.of(),
			null, List.of());

	/**
	 * Copies the collections.
	 */
	public ConfigState {
		Objects.requireNonNull(document, "document");
		members = Collections.unmodifiableMap(new TreeMap<>(members));
		orders = Collections.unmodifiableMap(new TreeMap<>(orders));
		decisions = List.copyOf(decisions);
	}

	/**
	 * Returns the pending patch.
	 * @return the patch, or empty if none is pending
	 */
	public Optional<PendingPatch> pending() {
		return Optional.ofNullable(this.pendingOrNull);
	}

	/**
	 * Finds the decision about a patch.
	 * @param patchId the id of the patch
	 * @return the decision, or empty if there is none or it is no longer kept
	 */
	public Optional<PatchDecision> decision(String patchId) {
		return this.decisions.stream().filter((decision) -> decision.patchId().equals(patchId)).findFirst();
	}

	/**
	 * Returns whether this incarnation is a member.
	 * @param vm the name of the entry VM
	 * @param incarnation the incarnation
	 * @return {@code true} if this incarnation of the VM is a member
	 */
	public boolean isMember(String vm, String incarnation) {
		Member member = this.members.get(vm);
		return member != null && member.incarnation().equals(incarnation);
	}

	ConfigState withMembers(Map<String, Member> newMembers, PendingPatch newPending) {
		return new ConfigState(this.version, this.document, newMembers, this.orders, newPending, this.decisions);
	}

	ConfigState withOrders(Map<String, OrderRegister> newOrders) {
		return new ConfigState(this.version, this.document, this.members, newOrders, this.pendingOrNull,
				this.decisions);
	}

	ConfigState withPending(PendingPatch newPending) {
		return new ConfigState(this.version, this.document, this.members, this.orders, newPending, this.decisions);
	}

	ConfigState refused(String patchId, PatchRejection rejection, String message, PendingPatch newPending) {
		return new ConfigState(this.version, this.document, this.members, this.orders, newPending,
				decisionsWith(new PatchDecision(patchId, this.version, rejection, message)));
	}

	ConfigState committed(PendingPatch patch) {
		long newVersion = this.version + 1;
		return new ConfigState(newVersion, patch.result(), this.members, this.orders, null,
				decisionsWith(new PatchDecision(patch.patchId(), newVersion, null, "in force")));
	}

	private List<PatchDecision> decisionsWith(PatchDecision decision) {
		List<PatchDecision> extended = new ArrayList<>(this.decisions);
		extended.add(decision);
		return extended.subList(Math.max(0, extended.size() - MAX_DECISIONS), extended.size());
	}

}
