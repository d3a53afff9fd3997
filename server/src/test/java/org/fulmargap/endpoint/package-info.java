/**
 * Tests of the calls to endpoints.
 */
package org.fulmargap.endpoint;
