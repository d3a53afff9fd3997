package org.fulmargap.ledger;

import java.util.Objects;

/**
 * Identity of the running entry VM process.
 *
 * @param vm the name of the entry VM
 * @param incarnation the incarnation, globally unique and never reused
 * @param failureDomain the failure domain
 */
public record ServiceIdentity(String vm, String incarnation, String failureDomain) {

	/**
	 * Checks the components.
	 */
	public ServiceIdentity {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(failureDomain, "failureDomain");
	}

}
