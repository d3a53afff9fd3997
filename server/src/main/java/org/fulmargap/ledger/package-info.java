/**
 * Access to the platform's log and VM list, and the services built on the log.
 */
package org.fulmargap.ledger;
