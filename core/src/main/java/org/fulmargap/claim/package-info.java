/**
 * Claims that make a non-idempotent request run at most once.
 */
package org.fulmargap.claim;
