/**
 * Tests of guarantees (P1 to P9 in docs/proofs.md) with entry VMs that run as separate
 * processes.
 */
package org.fulmargap.proofs;
