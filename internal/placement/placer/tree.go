package placer

// tree is a treap of workers in order of free processor time. Each node knows the largest amount of
// free memory below it, so that workers with enough of both are found in logarithmic time.
type tree struct {
	root *node
}

type node struct {
	worker      *entry
	left, right *node
	priority    uint64
	// milliCPU orders the nodes, ties are broken by the worker's ordinal.
	milliCPU int64
	// memory is the worker's and maxMemory the largest in the subtree.
	memory, maxMemory int64
}

// mix is the finalizer of splitmix64. It makes priorities that look random and do not need a seed.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

func (one *node) less(other *node) bool {
	if one.milliCPU != other.milliCPU {
		return one.milliCPU < other.milliCPU
	}
	return one.worker.ordinal < other.worker.ordinal
}

func (one *node) update() {
	one.maxMemory = one.memory
	if one.left != nil {
		one.maxMemory = max(one.maxMemory, one.left.maxMemory)
	}
	if one.right != nil {
		one.maxMemory = max(one.maxMemory, one.right.maxMemory)
	}
}

func (tree *tree) insert(added *node) {
	tree.root = insert(tree.root, added)
}

func insert(root, added *node) *node {
	if root == nil {
		return added
	}
	if added.priority > root.priority {
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

// split cuts a subtree into the nodes before and after pivot.
func split(root, pivot *node) (before, after *node) {
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

func (tree *tree) remove(removed *node) {
	tree.root = remove(tree.root, removed)
}

func remove(root, removed *node) *node {
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

func merge(before, after *node) *node {
	switch {
	case before == nil:
		return after
	case after == nil:
		return before
	case before.priority > after.priority:
		before.right = merge(before.right, after)
		before.update()
		return before
	default:
		after.left = merge(before, after.left)
		after.update()
		return after
	}
}

// visit calls accept for the nodes with at least these amounts, in order, until it returns false.
// It returns false if accept did.
func (one *node) visit(milliCPU, memory int64, accept func(*node) bool) bool {
	if one == nil || one.maxMemory < memory {
		return true
	}
	if one.milliCPU >= milliCPU {
		if !one.left.visit(milliCPU, memory, accept) {
			return false
		}
		if one.memory >= memory && !accept(one) {
			return false
		}
	}
	return one.right.visit(milliCPU, memory, accept)
}
