/**
 * gRPC calls between the processes of this project.
 */
package org.wigeontally.rpc;
