package org.fulmargap.config;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Patch that has been proposed and is not yet decided.
 *
 * @param patchId the id of the patch
 * @param proposedAtMs when the proposer created the proposal, milliseconds since the
 * epoch
 * @param result the document that results from the patch; it has been validated
 * @param required the incarnations whose acknowledgement is needed, by VM name
 * @param acknowledged the names of the VMs that have acknowledged
 */
public record PendingPatch(@JsonProperty(value = "patch_id", required = true) String patchId,
		@JsonProperty(value = "proposed_at_ms", required = true) long proposedAtMs,
		@JsonProperty(value = "result", required = true) JsonNode result,
		@JsonProperty(value = "required", required = true) Map<String, String> required,
		@JsonProperty(value = "acknowledged", required = true) Set<String> acknowledged) {

	/**
	 * Copies the collections.
	 */
	public PendingPatch {
		Objects.requireNonNull(patchId, "patch_id");
		Objects.requireNonNull(result, "result");
		required = Collections.unmodifiableMap(new TreeMap<>(required));
		acknowledged = Collections.unmodifiableSet(new TreeSet<>(acknowledged));
	}

	/**
	 * Returns the VMs whose acknowledgement is missing.
	 * @return the names, sorted
	 */
	public Set<String> missingAcks() {
		Set<String> missing = new TreeSet<>(this.required.keySet());
		missing.removeAll(this.acknowledged);
		return missing;
	}

	/**
	 * Returns whether an acknowledgement by this incarnation is still needed.
	 * @param vm the name of the entry VM
	 * @param incarnation the incarnation
	 * @return {@code true} if the acknowledgement is required and missing
	 */
	public boolean needsAckFrom(String vm, String incarnation) {
		return incarnation.equals(this.required.get(vm)) && !this.acknowledged.contains(vm);
	}

	PendingPatch withAck(String vm) {
		Set<String> extended = new TreeSet<>(this.acknowledged);
		extended.add(vm);
		return new PendingPatch(this.patchId, this.proposedAtMs, this.result, this.required, extended);
	}

	PendingPatch withoutMember(String vm) {
		Map<String, String> reduced = new TreeMap<>(this.required);
		reduced.remove(vm);
		return new PendingPatch(this.patchId, this.proposedAtMs, this.result, reduced, this.acknowledged);
	}

}
