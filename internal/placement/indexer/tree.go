package indexer

// tree is a treap of workers ordered by free processor time. Each node stores the largest amount of
// free memory in its subtree, so that workers with enough of both are found in logarithmic time.
type tree[T any] struct {
	root *node[T]
}

type node[T any] struct {
	value       T
	left, right *node[T]
	// ordinal breaks ties, and its hash is the heap priority of the node.
	ordinal uint64
	// milliCPU is the sort key.
	milliCPU int64
	// memory is the free memory of the worker, and maxMemory the largest in the subtree.
	memory, maxMemory int64
}

// splitmix64 is one step of the splitmix64 generator. It gives treap priorities that are evenly
// distributed and need no seed.
func splitmix64(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

func (node *node[T]) less(other *node[T]) bool {
	if node.milliCPU != other.milliCPU {
		return node.milliCPU < other.milliCPU
	}
	return node.ordinal < other.ordinal
}

// update recomputes maxMemory from the children.
func (node *node[T]) update() {
	node.maxMemory = node.memory
	if node.left != nil {
		node.maxMemory = max(node.maxMemory, node.left.maxMemory)
	}
	if node.right != nil {
		node.maxMemory = max(node.maxMemory, node.right.maxMemory)
	}
}

func (tree *tree[T]) insert(added *node[T]) {
	tree.root = insert(tree.root, added)
}

func insert[T any](root, added *node[T]) *node[T] {
	if root == nil {
		return added
	}
	if splitmix64(added.ordinal) > splitmix64(root.ordinal) {
		added.left, added.right = split(root, added)
		added.update()
		return added
	}
	if added.less(root) {
		root.left = insert(root.left, added)
	} else {
		root.right = insert(root.right, added)
	}
	root.maxMemory = max(root.maxMemory, added.memory)
	return root
}

// split divides a subtree into the nodes before and after pivot.
func split[T any](root, pivot *node[T]) (before, after *node[T]) {
	if root == nil {
		return nil, nil
	}
	if root.less(pivot) {
		root.right, after = split(root.right, pivot)
		before = root
	} else {
		before, root.left = split(root.left, pivot)
		after = root
	}
	root.update()
	return before, after
}

func (tree *tree[T]) remove(removed *node[T]) {
	tree.root = remove(tree.root, removed)
}

func remove[T any](root, removed *node[T]) *node[T] {
	if root == removed {
		return merge(root.left, root.right)
	}
	if removed.less(root) {
		root.left = remove(root.left, removed)
	} else {
		root.right = remove(root.right, removed)
	}
	root.update()
	return root
}

// merge joins two subtrees, where all nodes of before sort before those of after.
func merge[T any](before, after *node[T]) *node[T] {
	switch {
	case before == nil:
		return after
	case after == nil:
		return before
	case splitmix64(before.ordinal) > splitmix64(after.ordinal):
		before.right = merge(before.right, after)
		before.update()
		return before
	default:
		after.left = merge(before, after.left)
		after.update()
		return after
	}
}

// visit calls yield for the nodes with at least these amounts, in order, until yield returns false.
// It returns false if yield did.
func (node *node[T]) visit(milliCPU, memory int64, yield func(T) bool) bool {
	if node == nil || node.maxMemory < memory {
		return true
	}
	if node.milliCPU >= milliCPU {
		if !node.left.visit(milliCPU, memory, yield) {
			return false
		}
		if node.memory >= memory && !yield(node.value) {
			return false
		}
	}
	return node.right.visit(milliCPU, memory, yield)
}
