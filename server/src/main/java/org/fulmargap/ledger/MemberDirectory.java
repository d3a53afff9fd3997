package org.fulmargap.ledger;

import java.util.Collection;

/**
 * What the claim service needs to know about the members.
 */
public interface MemberDirectory {

	/**
	 * Returns the entry VMs that may hold claims: the members and any other VM that was
	 * heard of. Naming more VMs is safe.
	 * @return the names, empty if the members are not known
	 */
	Collection<String> vms();

	/**
	 * Returns when this entry VM last learned that a member left or was evicted. Claims
	 * of such a member can only be found in the stream.
	 * @return a time in milliseconds since the epoch, or {@link Long#MIN_VALUE}
	 */
	long lastRemovalAtMs();

}
