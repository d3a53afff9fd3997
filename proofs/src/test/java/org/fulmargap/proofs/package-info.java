/**
 * Tests of the promises with entry VMs that run as processes of their own.
 */
package org.fulmargap.proofs;
