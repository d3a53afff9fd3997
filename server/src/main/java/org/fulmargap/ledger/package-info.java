/**
 * Clients of the platform's log and VM list, and the claim and configuration services
 * that use the log.
 */
package org.fulmargap.ledger;
