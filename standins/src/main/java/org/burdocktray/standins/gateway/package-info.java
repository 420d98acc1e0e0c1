/**
 * Stand-ins for the systems that a gateway calls on the users' platform: the metadata
 * store, engines that execute orders and run layer paths, and replicas of plain services.
 */
package org.burdocktray.standins.gateway;
