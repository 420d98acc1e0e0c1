/**
 * How a VM that is cut off from replicas finds other VMs that relay its requests.
 */
package org.burdocktray.process.relay;
