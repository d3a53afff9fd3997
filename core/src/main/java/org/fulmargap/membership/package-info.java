/**
 * Membership, failure detection and administrative orders.
 */
package org.fulmargap.membership;
