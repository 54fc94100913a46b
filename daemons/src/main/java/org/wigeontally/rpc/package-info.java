/**
 * Calls between the project's own processes over gRPC.
 */
package org.wigeontally.rpc;
