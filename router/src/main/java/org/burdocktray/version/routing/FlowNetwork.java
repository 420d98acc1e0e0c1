package org.burdocktray.version.routing;

import java.util.Arrays;

/**
 * A directed graph with edge capacities. Computes the maximum flow by Dinic's algorithm.
 * Capacities are integers, so results are exact. Invariant: the flow of an edge is
 * between 0 and its capacity. Thread safety: none, confined to one solver.
 */
public final class FlowNetwork {

	/** A capacity above any sum of finite capacities. */
	public static final long UNBOUNDED = Long.MAX_VALUE / 4;

	private static final int INITIAL_EDGES = 64;

	private static final int NONE = -1;

	private final int[] firstEdge;

	private int[] nextEdge = new int[INITIAL_EDGES];

	private int[] target = new int[INITIAL_EDGES];

	private long[] residual = new long[INITIAL_EDGES];

	private final int[] level;

	private final int[] nextUntriedEdge;

	private int edges;

	/**
	 * Creates a graph without edges.
	 * @param nodes the number of nodes
	 */
	public FlowNetwork(int nodes) {
		this.firstEdge = new int[nodes];
		Arrays.fill(this.firstEdge, NONE);
		this.level = new int[nodes];
		this.nextUntriedEdge = new int[nodes];
	}

	/**
	 * Adds an edge.
	 * @param from the node it leaves
	 * @param to the node it enters
	 * @param capacity the maximum flow
	 * @return the index of the edge
	 */
	public int addEdge(int from, int to, long capacity) {
		int edge = this.edges;
		append(from, to, capacity);
		append(to, from, 0);
		return edge;
	}

	/**
	 * Increases the capacity of an edge without changing its flow.
	 * @param edge the index of the edge
	 * @param added the increase of the capacity
	 */
	public void raiseCapacity(int edge, long added) {
		this.residual[edge] += added;
	}

	/**
	 * Returns the flow of an edge.
	 * @param edge the index of the edge
	 * @return the flow, from 0 to the capacity
	 */
	public long flow(int edge) {
		return this.residual[edge ^ 1];
	}

	/**
	 * Augments the current flow to a maximum flow.
	 * @param source the node at which the flow starts
	 * @param sink the node at which the flow ends
	 * @return the increase of the flow
	 */
	public long augment(int source, int sink) {
		long added = 0;
		while (assignLevels(source, sink)) {
			System.arraycopy(this.firstEdge, 0, this.nextUntriedEdge, 0, this.nextUntriedEdge.length);
			long pushed = push(source, sink, UNBOUNDED);
			while (pushed > 0) {
				added += pushed;
				pushed = push(source, sink, UNBOUNDED);
			}
		}
		return added;
	}

	/**
	 * Returns whether a node is on the source side of the minimum cut. Valid after
	 * {@link #augment}.
	 * @param node the node
	 * @return true if the node is reachable from the source in the residual graph
	 */
	public boolean isOnSourceSide(int node) {
		return this.level[node] != NONE;
	}

	private void append(int from, int to, long capacity) {
		if (this.edges == this.target.length) {
			int newLength = this.edges * 2;
			this.nextEdge = Arrays.copyOf(this.nextEdge, newLength);
			this.target = Arrays.copyOf(this.target, newLength);
			this.residual = Arrays.copyOf(this.residual, newLength);
		}
		this.target[this.edges] = to;
		this.residual[this.edges] = capacity;
		this.nextEdge[this.edges] = this.firstEdge[from];
		this.firstEdge[from] = this.edges;
		this.edges++;
	}

	private boolean assignLevels(int source, int sink) {
		Arrays.fill(this.level, NONE);
		this.level[source] = 0;
		int[] queue = new int[this.level.length];
		int queued = 0;
		queue[queued++] = source;
		for (int position = 0; position < queued; position++) {
			int node = queue[position];
			for (int edge = this.firstEdge[node]; edge != NONE; edge = this.nextEdge[edge]) {
				int next = this.target[edge];
				if (this.residual[edge] > 0 && this.level[next] == NONE) {
					this.level[next] = this.level[node] + 1;
					queue[queued++] = next;
				}
			}
		}
		return this.level[sink] != NONE;
	}

	private long push(int node, int sink, long limit) {
		if (node == sink) {
			return limit;
		}
		while (this.nextUntriedEdge[node] != NONE) {
			int edge = this.nextUntriedEdge[node];
			int next = this.target[edge];
			if (this.residual[edge] > 0 && this.level[next] == this.level[node] + 1) {
				long pushed = push(next, sink, Math.min(limit, this.residual[edge]));
				if (pushed > 0) {
					this.residual[edge] -= pushed;
					this.residual[edge ^ 1] += pushed;
					return pushed;
				}
			}
			this.nextUntriedEdge[node] = this.nextEdge[edge];
		}
		return 0;
	}

}
