package org.fulmargap.config;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Entry VM that has joined.
 *
 * @param vm the name of the entry VM
 * @param incarnation the latest incarnation that joined
 * @param failureDomain the failure domain of the entry VM
 */
public record Member(@JsonProperty(value = "vm", required = true) String vm,
		@JsonProperty(value = "incarnation", required = true) String incarnation,
		@JsonProperty(value = "failure_domain", required = true) String failureDomain) {

	/**
	 * Checks the components.
	 */
	public Member {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(failureDomain, "failure_domain");
	}

}
