/**
 * Claims on idempotency keys, so that a non-idempotent request runs at most once.
 */
package org.fulmargap.claim;
