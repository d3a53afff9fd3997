/**
 * Test support processes that take the place of the platform, the endpoints and callers.
 */
package org.fulmargap.standin;
